/** Simulates nodes of the platform frame in virtual time: membership, configuration and store calls. */
import {PassThrough} from 'node:stream';
import {Logger} from '@goldcresthill/logger';
import {messageBytes} from '@goldcresthill/membership';
import type {
  Confirmation,
  EvacuationNotice,
  ExchangeMessage,
} from '@goldcresthill/membership';
import {PeerLinks, SidecarControl} from '@goldcresthill/node';
import type {ConfigDelta, ConfigProofOptions} from '@goldcresthill/node';
import {
  MemoryPlatform,
  seededRandom,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {Quarantine} from '@goldcresthill/quarantine';
import type {StoreAvailability} from '@goldcresthill/test-utils';
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';
import {ok} from 'neverthrow';

/** Options of SidecarSimulation. */
export interface SidecarSimulationOptions {
  readonly seed: number;
  readonly domains: number;
  readonly nodes: number;
  /** Share of messages that are lost, from 0 to 1. */
  readonly loss?: number;
  readonly configApplyMs?: number;
  /** Time by which stale reads lag behind writes, milliseconds. */
  readonly readLagMs?: number;
  /** Bound on evacuations, milliseconds; without it, nodes don't follow them. */
  readonly evacuationMs?: number;
  /** Age from which a proof of the configuration no longer counts, milliseconds; without it, nodes query for no proofs. */
  readonly maxProofAgeMs?: number | undefined;
}

/** A process of a node; a restart creates a new one with the same index and node ID. */
export interface SidecarSimulationNode {
  readonly index: number;
  readonly address: NodeAddress;
  readonly timers: VirtualTimers;
  readonly control: SidecarControl<number>;
  readonly store: StaleStore;
  readonly quarantine: Quarantine;
  /** Server instances of which the node learned that they are leaving. */
  readonly leavingInstances: string[];
  alive: boolean;
}

const CONFIG_PATH = 'config/main';
const EVACUATIONS = 'evacuations';
const DEFAULT_CONFIG_APPLY_MS = 2_500;
const EXCHANGE_TIMEOUT_MS = 300;
const BYTES_PER_SECOND = 9_000;
const FIRST_BOOT_ID = 1_000_000;
/** Size of a confirmation with its headers. */
const CONFIRMATION_BYTES = 60;
const DEFAULT_READ_LAG_MS = 3_000;
const PAGE_SIZE = 50;
const STORE_WRITES_PER_SECOND = 400;
/**
 * The clock settles promises only when it handles an event or starts a run, so
 * long runs are split into steps.
 */
const STEP_MS = 10;

/** Runs sidecar controls over a simulated network with delays. Its state is public for experiments. */
export class SidecarSimulation {
  readonly clock = new VirtualClock();
  readonly platform = new MemoryPlatform();
  readonly random: () => number;
  readonly nodes: SidecarSimulationNode[] = [];
  /** Queries for proofs between nodes; each answer is one more datagram. */
  proofQueries = 0;
  /** Called with the timers of a node that sends such a query. */
  onProofQuery: (timers: VirtualTimers) => void = () => undefined;
  readonly traffic = {messages: 0, bytes: 0, crossDomainBytes: 0};
  readonly errors: unknown[] = [];
  /** IDs of nodes that neither receive messages nor get any through to others. */
  readonly isolatedNodes = new Set<string>();
  /** IDs of nodes that the store turns away at once. */
  readonly nodesWithoutStore = new Set<string>();
  /** IDs of nodes to which the store is silent; see `silenceStore`. */
  readonly nodesWithSilentStore = new Set<string>();
  /** Share of messages that are lost, from 0 to 1. */
  loss: number;
  /** Time of day by which nodes that start are behind, in boots of the fleet; their incarnations are lower. */
  clockBack = 0;
  /** Duration of each call to the store, milliseconds. */
  storeDelayMs: number | undefined;
  /** Whether configurations that a node sends to another one are lost. */
  losesConfigTransfers = false;
  private readonly logger = new Logger({
    node: 'world',
    level: 'error',
    stream: new PassThrough().resume(),
  });
  private bootCount = 0;
  private configVersion = 0;

  constructor(readonly options: SidecarSimulationOptions) {
    this.random = seededRandom(options.seed);
    this.loss = options.loss ?? 0;
  }

  /** Starts all nodes at the same instant. */
  startAll(): void {
    for (let i = 0; i < this.options.nodes; i++) this.boot(i, true);
  }

  /** Starts a node, or restarts it with empty state. */
  boot(index: number, isFirstStart = false): void {
    const node = this.createNode(index, isFirstStart);
    this.nodes[index] = node;
    node.control.start();
    // The server on the VM announces itself before the node joins.
    node.control.setServers([serverRecordOf(index)]);
    void node.control.publishPresence();
  }

  kill(index: number): void {
    const node = this.node(index);
    node.alive = false;
    node.timers.kill();
  }

  /** Makes the store silent to nodes, open watches included, until they are removed from `nodesWithSilentStore`. */
  silenceStore(nodes: readonly SidecarSimulationNode[]): void {
    for (const {address, store} of nodes) {
      this.nodesWithSilentStore.add(address.nodeId);
      store.silenceWatches();
    }
  }

  /** Writes the next configuration and returns its version. */
  changeConfig(): number {
    this.configVersion++;
    this.rewriteConfig();
    return this.configVersion;
  }

  /** Writes the newest configuration again, as an operator does after a restore of the store. */
  rewriteConfig(): void {
    const current = this.platform.get(CONFIG_PATH)?.version ?? 0;
    const value = String(this.configVersion);
    const outcome = this.platform.put(CONFIG_PATH, value, current);
    if (outcome.type === 'conflict')
      throw new RangeError('configuration write conflicted');
    StaleStore.recordWrite(this.platform, outcome.version, this.clock.now);
  }

  /** Requests the evacuation of a failure domain, as an operator does. */
  evacuate(domain: string): void {
    this.platform.put(`${EVACUATIONS}/${domain}`, '{}', 0);
  }

  /** Ends the evacuation of a failure domain. */
  endEvacuation(domain: string): void {
    const path = `${EVACUATIONS}/${domain}`;
    this.platform.remove(path, this.platform.get(path)?.version ?? 0);
  }

  /** Whether the store has an evacuation of a failure domain. */
  isEvacuationStored(domain: string): boolean {
    return this.platform.get(`${EVACUATIONS}/${domain}`) !== undefined;
  }

  /** Version of the configuration that was written last. */
  get newestConfigVersion(): number {
    return this.configVersion;
  }

  async run(durationMs: number): Promise<void> {
    const endsAt = this.clock.now + durationMs;
    for (let now = this.clock.now; now < endsAt; now += STEP_MS) {
      await this.clock.runUntilSettled(Math.min(endsAt, now + STEP_MS));
    }
    if (this.errors.length > 0) throw this.errors[0];
  }

  /**
   * Runs until a condition holds; resolves to the milliseconds that this took,
   * or to undefined on timeout.
   */
  async runUntil(
    condition: () => boolean,
    timeoutMs: number,
  ): Promise<number | undefined> {
    const startedAt = this.clock.now;
    while (!condition()) {
      if (this.clock.now - startedAt >= timeoutMs) return undefined;
      await this.run(STEP_MS * 5);
    }
    return this.clock.now - startedAt;
  }

  get liveNodes(): SidecarSimulationNode[] {
    return this.nodes.filter(node => node.alive);
  }

  /** Whether every live node considers as many nodes reachable as are live. */
  get isConverged(): boolean {
    const {liveNodes} = this;
    return liveNodes.every(
      node => node.control.reachable().length === liveNodes.length,
    );
  }

  isInForce(version: number): boolean {
    return this.liveNodes.every(node => node.control.configVersion >= version);
  }

  /** Mean number of store calls per node so far, weighted by the platform's prices. */
  get storeCallsPerNode(): number {
    const totalCalls = this.nodes.reduce(
      (all, node) => all + node.store.callCost,
      0,
    );
    return totalCalls / this.nodes.length;
  }

  node(index: number): SidecarSimulationNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /**
   * Sends a request to a node and resolves to its reply, as by datagrams or
   * over a connection, or to undefined on timeout.
   */
  requestReply<T>(
    from: VirtualTimers,
    sender: NodeAddress,
    to: NodeAddress,
    serve: (node: SidecarSimulationNode) => T,
  ): Promise<T | undefined> {
    return new Promise(done => {
      from.after(EXCHANGE_TIMEOUT_MS, () => done(undefined));
      const node = this.nodes.find(n => n.address.nodeId === to.nodeId);
      if (node === undefined || this.isLost(sender, to)) return;
      node.timers.after(this.delayMs(sender, to), () => {
        const answer = serve(node);
        if (this.isLost(to, sender)) return;
        from.after(this.delayMs(to, sender), () => done(answer));
      });
    });
  }

  /** Sends a confirmation, as by a datagram without an answer. */
  sendConfirmation(
    from: NodeAddress,
    to: NodeAddress,
    confirmation: Confirmation,
  ): void {
    this.traffic.messages++;
    this.traffic.bytes += CONFIRMATION_BYTES;
    if (from.domain !== to.domain)
      this.traffic.crossDomainBytes += CONFIRMATION_BYTES;
    const node = this.nodes.find(n => n.address.nodeId === to.nodeId);
    if (node === undefined || this.isLost(from, to)) return;
    const notice = this.nodeOf(from)?.control.evacuationNotice;
    node.timers.after(this.delayMs(from, to), () => {
      recordEvacuations(node.control, notice);
      node.control.recordConfirmation(confirmation, true);
    });
  }

  private nodeOf({
    nodeId,
    bootId,
  }: NodeAddress): SidecarSimulationNode | undefined {
    return this.nodes.find(
      ({address}) => address.nodeId === nodeId && address.bootId === bootId,
    );
  }

  countTraffic(
    message: ExchangeMessage,
    from: NodeAddress,
    to: NodeAddress,
  ): void {
    const bytes = messageBytes(message);
    this.traffic.messages++;
    this.traffic.bytes += bytes;
    if (from.domain !== to.domain) this.traffic.crossDomainBytes += bytes;
  }

  private storeAvailability(nodeId: string): StoreAvailability {
    if (this.nodesWithSilentStore.has(nodeId)) return 'silent';
    return this.nodesWithoutStore.has(nodeId) ? 'refusing' : 'up';
  }

  private isLost(from: NodeAddress, to: NodeAddress): boolean {
    if (
      this.isolatedNodes.has(from.nodeId) ||
      this.isolatedNodes.has(to.nodeId)
    )
      return true;
    return this.random() < this.loss;
  }

  private delayMs(from: NodeAddress, to: NodeAddress): number {
    return (from.domain === to.domain ? 0.2 : 1) * (1 + this.random());
  }

  private configProofOptions(
    timers: VirtualTimers,
    self: NodeAddress,
  ): ConfigProofOptions<number> | undefined {
    const {maxProofAgeMs: maxAgeMs} = this.options;
    if (maxAgeMs === undefined) return undefined;
    return {
      maxAgeMs,
      isNeeded: () => true,
      readClocks: () => ({
        steadyMs: timers.now(),
        wallMs: timers.wall(),
        bootMs: timers.sinceBoot(),
      }),
      request: (to, names, done) => {
        this.proofQueries++;
        this.onProofQuery(timers);
        void this.requestReply(timers, self, to, node =>
          node.control.proofsOf(names),
        ).then(done);
      },
    };
  }

  private createNode(
    index: number,
    isFirstStart: boolean,
  ): SidecarSimulationNode {
    const {domains, configApplyMs = DEFAULT_CONFIG_APPLY_MS} = this.options;
    const timers = new VirtualTimers(this.clock);
    const domain = `d${index % domains}`;
    const address: NodeAddress = {
      nodeId: `${domain}-${String(index).padStart(4, '0')}`,
      bootId: FIRST_BOOT_ID + ++this.bootCount - this.clockBack,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain,
      region: 'r',
    };
    const store = new StaleStore({
      clock: this.clock,
      platform: this.platform,
      lagMs: this.options.readLagMs ?? DEFAULT_READ_LAG_MS,
      pageSize: PAGE_SIZE,
      availability: () => this.storeAvailability(address.nodeId),
      after: (delayMs, run) => timers.after(delayMs, run),
      callDelayMs: () => this.storeDelayMs,
    });
    const leavingInstances: string[] = [];
    const quarantine = new Quarantine();
    const control: SidecarControl<number> = new SidecarControl<number>({
      address,
      timers,
      random: this.random,
      logger: this.logger,
      store,
      links: new SimulatedPeerLinks(this, timers, address, () => control),
      activeStrikes: limit => quarantine.activeStrikes(this.clock.now, limit),
      fetchMemberTable: from =>
        this.requestReply(
          timers,
          address,
          from,
          node => node.control.memberTableText,
        ),
      sendConfirmation: (to, confirmation) =>
        this.sendConfirmation(address, to, confirmation),
      isFirstStart,
      bytesPerSecond: BYTES_PER_SECOND,
      configPath: CONFIG_PATH,
      decodeConfig: text => ok(Number(text)),
      versionOf: version => version,
      configApplyMs,
      evacuation:
        this.options.evacuationMs === undefined
          ? undefined
          : {kind: EVACUATIONS, boundMs: this.options.evacuationMs},
      storeWritesPerSecond: STORE_WRITES_PER_SECOND,
      expectedServer: () => serverRecordOf(index),
      configProofs: this.configProofOptions(timers, address),
      events: {
        onMembers: () => undefined,
        onConfig: () => undefined,
        onQuarantineUpdate: update => {
          if (update.type === 'strike') quarantine.recordStrike(update);
          else quarantine.recordClearance(update);
        },
        onLeavingInstances: instances => leavingInstances.push(...instances),
        onFault: err => this.errors.push(err),
      },
    });
    return {
      index,
      address,
      timers,
      control,
      store,
      quarantine,
      leavingInstances,
      alive: true,
    };
  }
}

function serverRecordOf(index: number): ServerRecord {
  const instance = `i-${index}`;
  return {service: 's', port: 1, slots: 6, instance, state: 'up'};
}

function recordEvacuations(
  control: SidecarControl<number>,
  notice: EvacuationNotice | undefined,
): void {
  if (notice !== undefined) control.recordEvacuations(notice);
}

class SimulatedPeerLinks extends PeerLinks {
  constructor(
    private readonly fleet: SidecarSimulation,
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
    const {fleet, self, timers} = this;
    fleet.countTraffic(message, self, to);
    const {confirmation, evacuationNotice} = this.control();
    const answer = await fleet.requestReply(timers, self, to, node => {
      recordEvacuations(node.control, evacuationNotice);
      node.control.recordConfirmation(confirmation, false);
      const reply = node.control.receive(message);
      fleet.countTraffic(reply, self, to);
      const {confirmation: answered, evacuationNotice: notice} = node.control;
      return {reply, confirmation: answered, notice};
    });
    if (answer !== undefined) {
      recordEvacuations(this.control(), answer.notice);
      this.control().recordConfirmation(answer.confirmation, false);
    }
    return answer?.reply;
  }

  override async fetchConfig(
    from: NodeAddress,
  ): Promise<ConfigDelta | undefined> {
    const {fleet, self, timers} = this;
    const delta = await fleet.requestReply(
      timers,
      self,
      from,
      node => node.control.configText,
    );
    if (fleet.losesConfigTransfers) return undefined;
    return delta === undefined ? undefined : {since: 0, delta};
  }

  override close(): void {}
}
