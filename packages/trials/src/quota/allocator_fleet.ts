/** A simulated fleet of nodes that run the product's QuotaTask over a network with faults. */
import {PassThrough} from 'node:stream';
import {Logger} from '@goldcresthill/logger';
import {Metrics} from '@goldcresthill/metrics';
import {QuotaTask} from '@goldcresthill/node';
import type {ProofEntry} from '@goldcresthill/peers';
import type {
  AccountCap,
  QuotaBounds,
  QuotaOutcome,
} from '@goldcresthill/quotas';
import {
  MemoryPlatform,
  StaleStore,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import type {PlatformCopy, VirtualClock} from '@goldcresthill/test-utils';
import type {Millis, NodeAddress} from '@goldcresthill/types';
import {CapScheme} from './cap_scheme';

/** Options of AllocatorFleet. */
export interface AllocatorFleetOptions {
  readonly clock: VirtualClock;
  readonly random: () => number;
  readonly nodes: number;
  readonly domains: number;
  readonly caps: ReadonlyMap<string, AccountCap>;
  readonly bounds: QuotaBounds;
  /** Share of datagrams that are lost, from 0 to 1. */
  readonly loss: number;
  /** Time until membership declares a silent node dead, milliseconds. */
  readonly detectMs: Millis;
  readonly onFault: (err: unknown) => void;
}

interface FleetNode {
  readonly address: NodeAddress;
  timers: VirtualTimers;
  store: StaleStore;
  task: QuotaTask;
  frozenUntil: Millis;
  /** Since when the process does not answer; undefined if it does. */
  silentSince: Millis | undefined;
}

const PROOF_TIMEOUT_MS = 200;
const READ_LAG_MS = 1_000;
const LOCAL_DELAY_MS = 0.3;
/** One-way delay between failure domains at the least and the additional random part, milliseconds. */
const REMOTE_DELAY_MS = 0.5;
const REMOTE_JITTER_MS = 3.9;

/** Nodes, their links and the store. */
export class AllocatorFleet extends CapScheme {
  private readonly nodes: FleetNode[];
  private readonly platform = new MemoryPlatform();
  private readonly logger = new Logger({
    node: 'fleet',
    level: 'error',
    stream: new PassThrough().resume(),
  });
  /** Domains cut from the others, since when and until when. */
  private readonly cuts = new Map<string, {from: Millis; until: Millis}>();
  /** Domains whose nodes the store does not answer, until when. */
  private readonly storeCuts = new Map<string, Millis>();
  private copy: PlatformCopy | undefined;
  /** Datagrams sent for the caps. */
  datagrams = 0;

  constructor(private readonly options: AllocatorFleetOptions) {
    super();
    this.nodes = Array.from({length: options.nodes}, (_, index) =>
      this.createNode(index),
    );
    this.nodes.forEach(node => node.task.setCaps(options.caps));
  }

  override admit(
    node: number,
    account: string,
    done: (outcome: QuotaOutcome) => void,
  ): void {
    const target = this.nodes[node];
    const ratePerSecond = this.options.caps.get(account)?.ratePerSecond ?? 0;
    // A request to a frozen process waits in its socket; one to a dead process is lost.
    target?.timers.after(LOCAL_DELAY_MS, () =>
      target.task.admit({name: account, ratePerSecond}, done),
    );
  }

  /** Calls made to the store so far, weighted by cost. */
  get storeCalls(): number {
    return this.nodes.reduce((sum, {store}) => sum + store.callCost, 0);
  }

  /** Indexes of the allocators of the newest list in the store. */
  get allocators(): number[] {
    const object = this.platform.get('allocators/main');
    if (object === undefined) return [];
    const {nodes} = JSON.parse(object.value) as {nodes: string[]};
    return this.nodes.flatMap(({address}, index) =>
      nodes.includes(address.nodeId) ? [index] : [],
    );
  }

  /** Kills the process of a node and starts another one after a delay, milliseconds. */
  kill(index: number, downMs: Millis): void {
    const node = this.nodes[index];
    if (node === undefined || node.timers.isDead) return;
    node.timers.kill();
    node.task.close();
    node.silentSince ??= this.options.clock.now;
    this.options.clock.after(downMs, () => this.restart(node, index));
  }

  /** Pauses the process of a node. */
  freeze(index: number, ms: Millis): void {
    const node = this.nodes[index];
    if (node === undefined || node.timers.isDead) return;
    const {clock} = this.options;
    node.frozenUntil = Math.max(node.frozenUntil, clock.now + ms);
    node.timers.pauseUntil(node.frozenUntil);
    node.silentSince ??= clock.now;
    const {timers} = node;
    clock.after(ms, () => {
      if (node.timers === timers && node.frozenUntil <= clock.now)
        node.silentSince = undefined;
    });
  }

  /** Cuts a failure domain from the others, and from the store if `fromStore`. */
  cut(domain: number, ms: Millis, fromStore: boolean): void {
    const {now} = this.options.clock;
    this.cuts.set(`d${domain}`, {from: now, until: now + ms});
    if (fromStore) this.storeCuts.set(`d${domain}`, now + ms);
  }

  /** Cuts a failure domain, or all of them if undefined, from the store. */
  cutStore(domain: number | undefined, ms: Millis): void {
    const {clock, domains} = this.options;
    for (let d = 0; d < domains; d++)
      if (domain === undefined || domain === d)
        this.storeCuts.set(`d${d}`, clock.now + ms);
  }

  /** Keeps a copy of the store, for `restoreStore`. */
  copyStore(): void {
    this.copy = this.platform.copy();
  }

  /** Restores the store from the copy, in a new era. */
  restoreStore(): void {
    if (this.copy !== undefined) this.platform.restore(this.copy);
  }

  close(): void {
    this.nodes.forEach(({task}) => task.close());
    this.logger.close();
  }

  private createNode(index: number): FleetNode {
    const {domains, clock} = this.options;
    const address = {
      nodeId: `node-${index}`,
      bootId: 1,
      host: '10.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain: `d${index % domains}`,
      region: 'r',
    };
    const timers = new VirtualTimers(clock);
    const store = this.createStore(address, timers);
    return {
      address,
      timers,
      store,
      task: this.createTask(address, timers, store),
      frozenUntil: -Infinity,
      silentSince: undefined,
    };
  }

  private createStore(address: NodeAddress, timers: VirtualTimers): StaleStore {
    const {clock} = this.options;
    return new StaleStore({
      clock,
      platform: this.platform,
      lagMs: READ_LAG_MS,
      pageSize: 1_000,
      availability: () =>
        (this.storeCuts.get(address.domain) ?? 0) > clock.now ? 'silent' : 'up',
      after: (delayMs, run) => timers.after(delayMs, run),
    });
  }

  private createTask(
    address: NodeAddress,
    timers: VirtualTimers,
    store: StaleStore,
  ): QuotaTask {
    const {clock, bounds, onFault} = this.options;
    return new QuotaTask({
      address,
      timers,
      random: this.options.random,
      clocks: () => ({
        steadyMs: clock.now,
        wallMs: clock.now,
        bootMs: clock.now,
      }),
      store,
      bounds,
      fleet: {
        reachable: () => this.reachableFrom(address),
        addressOf: nodeId =>
          this.nodes.find(node => node.address.nodeId === nodeId)?.address,
        knownCount: () => this.nodes.length,
      },
      metrics: new Metrics(),
      logger: this.logger,
      onFault,
      links: {
        requestTokens: (to, query, done) =>
          this.deliver(address, to, target => {
            const answer = target.task.answerTokens(query, list =>
              this.deliver(to, address, self => self.task.setList(list)),
            );
            this.deliverTo(to, address, timers, () => done(answer));
          }),
        requestProofs: (to, names, done) => {
          let isDone = false;
          const end = (proofs: readonly ProofEntry[] | undefined): void => {
            if (isDone) return;
            isDone = true;
            done(proofs);
          };
          timers.after(PROOF_TIMEOUT_MS, () => end(undefined));
          this.deliver(address, to, target => {
            const proofs = target.task.proofsOf(names);
            this.deliverTo(to, address, timers, () => end(proofs));
          });
        },
        sendAllocators: (to, list) =>
          this.deliver(address, to, target => target.task.setList(list)),
      },
    });
  }

  private restart(node: FleetNode, index: number): void {
    node.timers = new VirtualTimers(this.options.clock);
    node.store = this.createStore(node.address, node.timers);
    node.task = this.createTask(node.address, node.timers, node.store);
    node.task.setCaps(this.options.caps);
    node.frozenUntil = -Infinity;
    node.silentSince = undefined;
    this.nodes[index] = node;
  }

  private deliver(
    from: NodeAddress,
    to: NodeAddress,
    run: (target: FleetNode) => void,
  ): void {
    const target = this.nodes.find(n => n.address.nodeId === to.nodeId);
    if (target === undefined) return;
    this.deliverTo(from, to, target.timers, () => run(target));
  }

  // The datagram reaches the process whose socket is open when it is sent.
  private deliverTo(
    from: NodeAddress,
    to: NodeAddress,
    timers: VirtualTimers,
    run: () => void,
  ): void {
    const {random, loss} = this.options;
    this.datagrams++;
    if (this.isCut(from, to) !== undefined || random() < loss) return;
    const delayMs =
      from.domain === to.domain
        ? LOCAL_DELAY_MS
        : REMOTE_DELAY_MS + random() * REMOTE_JITTER_MS;
    timers.after(delayMs, run);
  }

  /** Time since when the link between two nodes is cut; undefined if it is not. */
  private isCut(a: NodeAddress, b: NodeAddress): Millis | undefined {
    if (a.domain === b.domain) return undefined;
    const {now} = this.options.clock;
    const active = [a, b].flatMap(({domain}) => {
      const cut = this.cuts.get(domain);
      return cut !== undefined && now < cut.until ? [cut.from] : [];
    });
    return active.length === 0 ? undefined : Math.min(...active);
  }

  private reachableFrom(self: NodeAddress): NodeAddress[] {
    const {clock, detectMs} = this.options;
    const isSeen = ({address, silentSince}: FleetNode): boolean => {
      const since = [silentSince, this.isCut(self, address)].filter(
        time => time !== undefined,
      );
      return since.every(time => clock.now - time < detectMs);
    };
    return this.nodes
      .filter(node => node.address === self || isSeen(node))
      .map(({address}) => address);
  }
}
