/** Nodes, operators and the store in virtual time: membership and configuration. */
import type {ExchangeMessage} from '@goldcresthill/membership';
import {messageBytes} from '@goldcresthill/membership';
import {ControlPlane, PeerLinks} from '@goldcresthill/node';
import type {ConfigDelta} from '@goldcresthill/node';
import {StoreBreaker} from '@goldcresthill/object-store';
import {
  MemoryPlatform,
  seededRandom,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import type {Ticket, TicketAnswer} from '@goldcresthill/tickets';
import type {NodeAddress} from '@goldcresthill/types';
import {WorldStore} from '../call/world_store';
import type {StoreWeather} from '../call/world_store';

/** What a fleet starts from. */
export interface FleetWorldOptions {
  readonly seed: number;
  readonly domains: number;
  readonly nodesPerDomain: number;
  readonly regions?: number;
  /** Share of messages lost. */
  readonly loss?: number;
  readonly cutDetection?: boolean;
  readonly roundMs?: number;
  readonly bytesPerSecond?: number;
}

/** One node; a restart makes a new plane at the same address. */
export interface WorldNode {
  readonly index: number;
  address: NodeAddress;
  timers: VirtualTimers;
  plane: ControlPlane;
  store: WorldStore;
  alive: boolean;
}

const DEFAULT_ROUND_MS = 1_000;
const DEFAULT_BYTES_PER_SECOND = 9_000;
const EXCHANGE_TIMEOUT_MS = 500;
const START_SPREAD_MS = 2_000;

/** Drives control planes. Everything is public to experiments. */
export class FleetWorld {
  readonly clock = new VirtualClock();
  readonly platform = new MemoryPlatform();
  readonly random: () => number;
  readonly nodes: WorldNode[] = [];
  readonly traffic = {messages: 0, bytes: 0};
  readonly faults: unknown[] = [];
  readonly statuses: string[] = [];
  weather: StoreWeather = 'up';
  private boots = 0;
  private regionsCut = false;
  private readonly cuts = new Set<string>();
  private readonly oneWayCuts = new Set<string>();

  constructor(readonly options: FleetWorldOptions) {
    this.random = seededRandom(options.seed);
  }

  /** Starts all nodes within a short time. */
  startAll(): void {
    const {domains, nodesPerDomain} = this.options;
    for (let index = 0; index < domains * nodesPerDomain; index++) {
      this.boot(index);
    }
  }

  /** Starts a node, anew if it had been there before; peers are as in its settings. */
  boot(
    index: number,
    delayMs = this.random() * START_SPREAD_MS,
    peers: readonly number[] = [],
  ): void {
    const known = peers.map(peer => ({...this.node(peer).address, bootId: 0}));
    const node = this.makeNode(index, known);
    this.nodes[index] = node;
    node.timers.after(delayMs, () => node.plane.start());
  }

  kill(index: number): void {
    const node = this.node(index);
    node.alive = false;
    node.timers.kill();
  }

  pause(index: number, forMs: number): void {
    this.node(index).timers.pauseUntil(this.clock.now + forMs);
  }

  /** Nothing passes between these domains and the others. */
  cut(domain: string): void {
    this.cuts.add(domain);
  }

  /** What this domain sends is lost; it still hears the others. */
  cutOneWay(domain: string): void {
    this.oneWayCuts.add(domain);
  }

  /** Nothing passes between regions. */
  cutRegions(): void {
    this.regionsCut = true;
  }

  heal(): void {
    this.regionsCut = false;
    this.cuts.clear();
    this.oneWayCuts.clear();
  }

  submit(index: number, ticket: Ticket): Promise<TicketAnswer> {
    const node = this.node(index);
    return new Promise(done => {
      node.timers.after(0, () => node.plane.submit(ticket, done));
    });
  }

  async run(forMs: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.now + forMs);
    if (this.faults.length > 0) throw this.faults[0];
  }

  /** Runs until a condition holds; answers how long it took, or undefined. */
  async runUntil(
    holds: () => boolean,
    atMostMs: number,
    stepMs = 100,
  ): Promise<number | undefined> {
    const startedAt = this.clock.now;
    while (!holds()) {
      if (this.clock.now - startedAt >= atMostMs) return undefined;
      await this.run(stepMs);
    }
    return this.clock.now - startedAt;
  }

  get living(): WorldNode[] {
    return this.nodes.filter(node => node.alive);
  }

  /** Whether all living nodes hold the same members, and hold all living ones alive. */
  get agrees(): boolean {
    const living = this.living;
    const names = new Set(living.map(node => node.address.nodeId));
    return living.every(node => {
      const reachable = node.plane.member.membership.reachable();
      return (
        reachable.length === names.size &&
        reachable.every(a => names.has(a.nodeId))
      );
    });
  }

  /** Whether every living node holds at least this revision. */
  allAtRevision(revision: number): boolean {
    return this.living.every(
      node => node.plane.config.current.revision >= revision,
    );
  }

  node(index: number): WorldNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Delivers a message and brings back its answer, as a connection would. */
  exchange(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    this.count(message);
    return this.ask(from, sender, to, node => {
      const answer = node.plane.receive(message);
      this.count(answer);
      return answer;
    });
  }

  fetch(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined> {
    return this.ask(from, sender, to, node => ({
      since,
      delta: node.plane.deltaFor(since),
    }));
  }

  private ask<T>(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    serve: (node: WorldNode) => T,
  ): Promise<T | undefined> {
    return new Promise(done => {
      from.after(EXCHANGE_TIMEOUT_MS, () => done(undefined));
      const node = this.nodes.find(n => n.address.nodeId === to.nodeId);
      if (node === undefined || this.isLost(sender, to)) return;
      // A message to an earlier process of the node finds nobody.
      if (node.address.bootId !== to.bootId && to.bootId !== 0) return;
      node.timers.after(this.delay(sender, to), () => {
        const answer = serve(node);
        if (this.isLost(to, sender)) return;
        from.after(this.delay(to, sender), () => done(answer));
      });
    });
  }

  private isLost(from: NodeAddress, to: NodeAddress): boolean {
    if (this.regionsCut && from.region !== to.region) return true;
    if (from.domain !== to.domain) {
      if (this.cuts.has(from.domain) || this.cuts.has(to.domain)) return true;
      if (this.oneWayCuts.has(from.domain)) return true;
    }
    return this.random() < (this.options.loss ?? 0);
  }

  private delay(from: NodeAddress, to: NodeAddress): number {
    const base =
      from.region !== to.region ? 30 : from.domain !== to.domain ? 1 : 0.2;
    return base * (1 + this.random());
  }

  private count(message: ExchangeMessage): void {
    this.traffic.messages++;
    this.traffic.bytes += messageBytes(message);
  }

  private makeNode(index: number, peers: readonly NodeAddress[]): WorldNode {
    const {domains, regions = 1} = this.options;
    const domain = index % domains;
    const boot = ++this.boots;
    const timers = new VirtualTimers(this.clock);
    const address: NodeAddress = {
      nodeId: `n${index}`,
      bootId: boot,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain: `d${domain}`,
      region: `r${domain % regions}`,
    };
    const store = new WorldStore(
      this.clock,
      this.platform,
      this.random,
      () => this.weather,
    );
    const plane = new ControlPlane({
      address,
      incarnation: boot,
      roundMs: this.options.roundMs ?? DEFAULT_ROUND_MS,
      bytesPerSecond: this.options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND,
      store,
      breaker: new StoreBreaker({random: this.random}),
      links: new WorldLinks(this, timers, address),
      peers,
      timers,
      random: this.random,
      cutDetection: this.options.cutDetection,
      events: {
        onMembers: () => undefined,
        onConfiguration: () => undefined,
        onQuarantineUpdate: () => undefined,
        onStatus: (nodeId, status) => this.statuses.push(`${nodeId} ${status}`),
        onFault: err => this.faults.push(err),
      },
    });
    return {index, address, timers, plane, store, alive: true};
  }
}

class WorldLinks extends PeerLinks {
  constructor(
    private readonly world: FleetWorld,
    private readonly timers: VirtualTimers,
    private readonly self: NodeAddress,
  ) {
    super();
  }

  override exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    return this.world.exchange(this.timers, this.self, to, message);
  }

  override fetchConfig(
    from: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined> {
    return this.world.fetch(this.timers, this.self, from, since);
  }

  override close(): void {}
}
