/** Simulates nodes, operators and the store in virtual time: membership and configuration. */
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
import {SimulatedStore} from '../call/simulated_store';
import type {StoreMode} from '../call/simulated_store';

/** Options of FleetSimulation. */
export interface FleetSimulationOptions {
  readonly seed: number;
  readonly domains: number;
  readonly nodesPerDomain: number;
  readonly regions?: number;
  /** Share of messages that are lost, from 0 to 1. */
  readonly loss?: number;
  readonly cutDetection?: boolean;
  readonly roundMs?: number;
  readonly bytesPerSecond?: number;
}

/** A process of a node; a restart creates a new one with the same node ID and a new boot ID. */
export interface FleetNode {
  readonly index: number;
  address: NodeAddress;
  timers: VirtualTimers;
  controlPlane: ControlPlane;
  store: SimulatedStore;
  alive: boolean;
}

const DEFAULT_ROUND_MS = 1_000;
const DEFAULT_BYTES_PER_SECOND = 9_000;
const EXCHANGE_TIMEOUT_MS = 500;
const MAX_START_DELAY_MS = 2_000;

/** Runs control planes over a simulated network. Its state is public for experiments. */
export class FleetSimulation {
  readonly clock = new VirtualClock();
  readonly platform = new MemoryPlatform();
  readonly random: () => number;
  readonly nodes: FleetNode[] = [];
  readonly traffic = {messages: 0, bytes: 0};
  readonly errors: unknown[] = [];
  /** Status changes that nodes observed, as `NODE_ID STATUS`. */
  readonly statusChanges: string[] = [];
  storeMode: StoreMode = 'up';
  private bootCount = 0;
  private regionsCut = false;
  private readonly cuts = new Set<string>();
  private readonly oneWayCuts = new Set<string>();

  constructor(readonly options: FleetSimulationOptions) {
    this.random = seededRandom(options.seed);
  }

  /** Starts all nodes, each after a random delay of up to 2 s. */
  startAll(): void {
    const {domains, nodesPerDomain} = this.options;
    for (let index = 0; index < domains * nodesPerDomain; index++) {
      this.boot(index);
    }
  }

  /** Starts a node, or restarts it with empty state; `peers` are the indexes of the peers in its settings. */
  boot(
    index: number,
    delayMs = this.random() * MAX_START_DELAY_MS,
    peers: readonly number[] = [],
  ): void {
    const peerAddresses = peers.map(peer => ({
      ...this.node(peer).address,
      bootId: 0,
    }));
    const node = this.createNode(index, peerAddresses);
    this.nodes[index] = node;
    node.timers.after(delayMs, () => node.controlPlane.start());
  }

  kill(index: number): void {
    const node = this.node(index);
    node.alive = false;
    node.timers.kill();
  }

  pause(index: number, durationMs: number): void {
    this.node(index).timers.pauseUntil(this.clock.now + durationMs);
  }

  /** Drops all messages between this domain and the others. */
  cut(domain: string): void {
    this.cuts.add(domain);
  }

  /** Drops what this domain sends to others; it still receives their messages. */
  cutOneWay(domain: string): void {
    this.oneWayCuts.add(domain);
  }

  /** Drops all messages between regions. */
  cutRegions(): void {
    this.regionsCut = true;
  }

  /** Ends all cuts. */
  heal(): void {
    this.regionsCut = false;
    this.cuts.clear();
    this.oneWayCuts.clear();
  }

  submit(index: number, ticket: Ticket): Promise<TicketAnswer> {
    const node = this.node(index);
    return new Promise(done => {
      node.timers.after(0, () => node.controlPlane.submit(ticket, done));
    });
  }

  async run(durationMs: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.now + durationMs);
    if (this.errors.length > 0) throw this.errors[0];
  }

  /**
   * Runs until a condition holds; resolves to the milliseconds that this took,
   * or to undefined on timeout.
   */
  async runUntil(
    condition: () => boolean,
    timeoutMs: number,
    stepMs = 100,
  ): Promise<number | undefined> {
    const startedAt = this.clock.now;
    while (!condition()) {
      if (this.clock.now - startedAt >= timeoutMs) return undefined;
      await this.run(stepMs);
    }
    return this.clock.now - startedAt;
  }

  get liveNodes(): FleetNode[] {
    return this.nodes.filter(node => node.alive);
  }

  /** Whether every live node considers exactly the live nodes reachable. */
  get isConverged(): boolean {
    const liveNodes = this.liveNodes;
    const liveIds = new Set(liveNodes.map(node => node.address.nodeId));
    return liveNodes.every(node => {
      const reachable = node.controlPlane.member.membership.reachable();
      return (
        reachable.length === liveIds.size &&
        reachable.every(a => liveIds.has(a.nodeId))
      );
    });
  }

  /** Whether every live node has at least this revision. */
  allAtRevision(revision: number): boolean {
    return this.liveNodes.every(
      node => node.controlPlane.config.current.revision >= revision,
    );
  }

  node(index: number): FleetNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Delivers a message and resolves to its answer, as over a connection, or to undefined on timeout. */
  exchange(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    this.countTraffic(message);
    return this.requestReply(from, sender, to, node => {
      const answer = node.controlPlane.receive(message);
      this.countTraffic(answer);
      return answer;
    });
  }

  fetchConfig(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined> {
    return this.requestReply(from, sender, to, node => ({
      since,
      delta: node.controlPlane.deltaFor(since),
    }));
  }

  private requestReply<T>(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    serve: (node: FleetNode) => T,
  ): Promise<T | undefined> {
    return new Promise(done => {
      from.after(EXCHANGE_TIMEOUT_MS, () => done(undefined));
      const node = this.nodes.find(n => n.address.nodeId === to.nodeId);
      if (node === undefined || this.isLost(sender, to)) return;
      // A message to an earlier process of the node is lost. Boot ID 0, of a
      // peer from the settings, matches any process.
      if (node.address.bootId !== to.bootId && to.bootId !== 0) return;
      node.timers.after(this.delayMs(sender, to), () => {
        const answer = serve(node);
        if (this.isLost(to, sender)) return;
        from.after(this.delayMs(to, sender), () => done(answer));
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

  private delayMs(from: NodeAddress, to: NodeAddress): number {
    const baseMs =
      from.region !== to.region ? 30 : from.domain !== to.domain ? 1 : 0.2;
    return baseMs * (1 + this.random());
  }

  private countTraffic(message: ExchangeMessage): void {
    this.traffic.messages++;
    this.traffic.bytes += messageBytes(message);
  }

  private createNode(index: number, peers: readonly NodeAddress[]): FleetNode {
    const {domains, regions = 1} = this.options;
    const domain = index % domains;
    const bootId = ++this.bootCount;
    const timers = new VirtualTimers(this.clock);
    const address: NodeAddress = {
      nodeId: `n${index}`,
      bootId,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain: `d${domain}`,
      region: `r${domain % regions}`,
    };
    const store = new SimulatedStore(
      this.clock,
      this.platform,
      this.random,
      () => this.storeMode,
    );
    const controlPlane = new ControlPlane({
      address,
      incarnation: bootId,
      roundMs: this.options.roundMs ?? DEFAULT_ROUND_MS,
      bytesPerSecond: this.options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND,
      store,
      breaker: new StoreBreaker({random: this.random}),
      links: new SimulatedPeerLinks(this, timers, address),
      peers,
      timers,
      random: this.random,
      cutDetection: this.options.cutDetection,
      events: {
        onMembers: () => undefined,
        onConfiguration: () => undefined,
        onQuarantineUpdate: () => undefined,
        onStatus: (nodeId, status) =>
          this.statusChanges.push(`${nodeId} ${status}`),
        onFault: err => this.errors.push(err),
      },
    });
    return {index, address, timers, controlPlane, store, alive: true};
  }
}

class SimulatedPeerLinks extends PeerLinks {
  constructor(
    private readonly fleet: FleetSimulation,
    private readonly timers: VirtualTimers,
    private readonly self: NodeAddress,
  ) {
    super();
  }

  override exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    return this.fleet.exchange(this.timers, this.self, to, message);
  }

  override fetchConfig(
    from: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined> {
    return this.fleet.fetchConfig(this.timers, this.self, from, since);
  }

  override close(): void {}
}
