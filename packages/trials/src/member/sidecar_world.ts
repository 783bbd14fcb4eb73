/** Nodes of the platform's frame in virtual time: membership, configuration and store calls. */
import {PassThrough} from 'node:stream';
import {Logger} from '@goldcresthill/logger';
import {messageBytes} from '@goldcresthill/membership';
import type {ExchangeMessage} from '@goldcresthill/membership';
import {PeerLinks, SidecarControl} from '@goldcresthill/node';
import type {ConfigDelta} from '@goldcresthill/node';
import {
  MemoryPlatform,
  seededRandom,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';
import {ok} from 'neverthrow';

/** What a world starts from. */
export interface SidecarWorldOptions {
  readonly seed: number;
  readonly domains: number;
  readonly nodes: number;
  /** Share of messages lost. */
  readonly loss?: number;
  readonly configApplyMs?: number;
}

/** One node; a restart makes a new control at the same place. */
export interface SidecarWorldNode {
  readonly index: number;
  readonly address: NodeAddress;
  readonly timers: VirtualTimers;
  readonly control: SidecarControl<number>;
  readonly store: StaleStore;
  /** Server processes that it has been told to have left. */
  readonly leaving: string[];
  alive: boolean;
}

const CONFIG_PATH = 'config/main';
const DEFAULT_CONFIG_APPLY_MS = 2_500;
const EXCHANGE_TIMEOUT_MS = 300;
const BYTES_PER_SECOND = 9_000;
/** By how much cheap reads are behind, milliseconds. */
const LAG_MS = 3_000;
const PAGE = 50;
/** Promises get their turn after each event, so that there have to be some. */
const STEP_MS = 10;

/** Drives controls over a network with delays. Everything is public to experiments. */
export class SidecarWorld {
  readonly clock = new VirtualClock();
  readonly platform = new MemoryPlatform();
  readonly random: () => number;
  readonly nodes: SidecarWorldNode[] = [];
  readonly traffic = {messages: 0, bytes: 0, crossBytes: 0};
  readonly faults: unknown[] = [];
  /** Nodes that no message reaches or leaves. */
  readonly isolated = new Set<string>();
  /** Nodes that the store does not answer. */
  readonly withoutStore = new Set<string>();
  private readonly logger = new Logger({
    node: 'world',
    level: 'error',
    stream: new PassThrough().resume(),
  });
  private boots = 0;
  private configVersion = 0;

  constructor(readonly options: SidecarWorldOptions) {
    this.random = seededRandom(options.seed);
  }

  /** Starts all nodes at the same instant. */
  startAll(): void {
    for (let i = 0; i < this.options.nodes; i++) this.boot(i);
  }

  /** Starts a node, anew if it had been there before. */
  boot(index: number): void {
    const node = this.makeNode(index);
    this.nodes[index] = node;
    node.control.start();
    // The server beside it speaks before the node makes itself known.
    node.control.setServers([serverOf(index)]);
    void node.control.publishPresence();
  }

  kill(index: number): void {
    const node = this.node(index);
    node.alive = false;
    node.timers.kill();
  }

  /** Writes the next configuration; answers its version. */
  changeConfig(): number {
    const current = this.platform.get(CONFIG_PATH)?.version ?? 0;
    const value = String(++this.configVersion);
    const outcome = this.platform.put(CONFIG_PATH, value, current);
    if (outcome.type === 'conflict') throw new RangeError('conflict');
    StaleStore.recordWrite(this.platform, outcome.version, this.clock.now);
    return this.configVersion;
  }

  async run(forMs: number): Promise<void> {
    const end = this.clock.now + forMs;
    for (let at = this.clock.now; at < end; at += STEP_MS) {
      await this.clock.runUntilSettled(Math.min(end, at + STEP_MS));
    }
    if (this.faults.length > 0) throw this.faults[0];
  }

  /** Runs until a condition holds; answers how long it took, or undefined. */
  async runUntil(
    holds: () => boolean,
    atMostMs: number,
  ): Promise<number | undefined> {
    const startedAt = this.clock.now;
    while (!holds()) {
      if (this.clock.now - startedAt >= atMostMs) return undefined;
      await this.run(STEP_MS * 5);
    }
    return this.clock.now - startedAt;
  }

  get living(): SidecarWorldNode[] {
    return this.nodes.filter(node => node.alive);
  }

  /** Whether all living nodes hold all living ones alive, and no others. */
  get agrees(): boolean {
    const {living} = this;
    return living.every(
      node => node.control.reachable().length === living.length,
    );
  }

  isInForce(version: number): boolean {
    return this.living.every(node => node.control.configVersion >= version);
  }

  /** Calls to the store for each node so far, as the platform prices them. */
  get callsPerNode(): number {
    const sum = this.nodes.reduce((all, node) => all + node.store.callCost, 0);
    return sum / this.nodes.length;
  }

  node(index: number): SidecarWorldNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Asks a node something, as a datagram and its answer or a connection would. */
  ask<T>(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    serve: (node: SidecarWorldNode) => T,
  ): Promise<T | undefined> {
    return new Promise(done => {
      from.after(EXCHANGE_TIMEOUT_MS, () => done(undefined));
      const node = this.nodes.find(n => n.address.nodeId === to.nodeId);
      if (node === undefined || this.isLost(sender, to)) return;
      node.timers.after(this.delay(sender, to), () => {
        const answer = serve(node);
        if (this.isLost(to, sender)) return;
        from.after(this.delay(to, sender), () => done(answer));
      });
    });
  }

  count(message: ExchangeMessage, a: NodeAddress, b: NodeAddress): void {
    const bytes = messageBytes(message);
    this.traffic.messages++;
    this.traffic.bytes += bytes;
    if (a.domain !== b.domain) this.traffic.crossBytes += bytes;
  }

  private isLost(from: NodeAddress, to: NodeAddress): boolean {
    if (this.isolated.has(from.nodeId) || this.isolated.has(to.nodeId))
      return true;
    return this.random() < (this.options.loss ?? 0);
  }

  private delay(from: NodeAddress, to: NodeAddress): number {
    return (from.domain === to.domain ? 0.2 : 1) * (1 + this.random());
  }

  private makeNode(index: number): SidecarWorldNode {
    const {domains, configApplyMs = DEFAULT_CONFIG_APPLY_MS} = this.options;
    const timers = new VirtualTimers(this.clock);
    const domain = `d${index % domains}`;
    const address: NodeAddress = {
      nodeId: `${domain}-${String(index).padStart(4, '0')}`,
      bootId: ++this.boots,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain,
      region: 'r',
    };
    const store = new StaleStore({
      clock: this.clock,
      platform: this.platform,
      lagMs: LAG_MS,
      pageSize: PAGE,
      isUp: () => !this.withoutStore.has(address.nodeId),
    });
    const leaving: string[] = [];
    const control: SidecarControl<number> = new SidecarControl<number>({
      address,
      timers,
      random: this.random,
      logger: this.logger,
      store,
      links: new WorldLinks(this, timers, address, () => control),
      fetchMemberTable: from =>
        this.ask(timers, address, from, node => node.control.memberTableText),
      bytesPerSecond: BYTES_PER_SECOND,
      configPath: CONFIG_PATH,
      decodeConfig: text => ok(Number(text)),
      versionOf: version => version,
      configApplyMs,
      expectedServer: () => serverOf(index),
      events: {
        onMembers: () => undefined,
        onConfig: () => undefined,
        onQuarantineUpdate: () => undefined,
        onLeavingInstances: instances => leaving.push(...instances),
        onFault: err => this.faults.push(err),
      },
    });
    return {index, address, timers, control, store, leaving, alive: true};
  }
}

function serverOf(index: number): ServerRecord {
  const instance = `i-${index}`;
  return {service: 's', port: 1, slots: 6, instance, state: 'up'};
}

class WorldLinks extends PeerLinks {
  constructor(
    private readonly world: SidecarWorld,
    private readonly timers: VirtualTimers,
    private readonly self: NodeAddress,
    private readonly control: () => SidecarControl<number>,
  ) {
    super();
  }

  override async exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    const {world, self, timers} = this;
    world.count(message, self, to);
    const watchedMs = this.control().watcherAgeMs;
    const answer = await world.ask(timers, self, to, node => {
      node.control.recordWatcherSeen(watchedMs);
      const back = node.control.receive(message);
      world.count(back, self, to);
      return {back, watchedMs: node.control.watcherAgeMs};
    });
    if (answer !== undefined)
      this.control().recordWatcherSeen(answer.watchedMs);
    return answer?.back;
  }

  override async fetchConfig(
    from: NodeAddress,
  ): Promise<ConfigDelta | undefined> {
    const {world, self, timers} = this;
    const delta = await world.ask(
      timers,
      self,
      from,
      node => node.control.configText,
    );
    return delta === undefined ? undefined : {since: 0, delta};
  }

  override close(): void {}
}
