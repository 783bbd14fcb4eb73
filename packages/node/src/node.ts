/** A node: creates its tasks, starts and stops them. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {IntervalHistogram} from 'node:perf_hooks';
import {TokenBucket} from '@goldcresthill/budgets';
import type {Logger} from '@goldcresthill/logger';
import {Metrics} from '@goldcresthill/metrics';
import {BudgetedStore, StoreBreaker} from '@goldcresthill/object-store';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {NodeSettings} from '@goldcresthill/settings';
import {RealTimers} from '@goldcresthill/timers';
import type {Timers} from '@goldcresthill/timers';
import {invariantCount, InvariantError} from '@goldcresthill/types';
import type {NodeAddress} from '@goldcresthill/types';
import {DecisionLog} from './gateway/decision_log';
import {InputBudget} from './http/input_budget';
import type {NodeStatus} from './operator/status';
import {memberViews, serverStatuses} from './operator/status';
import {Tasks} from './tasks';
import type {NodePorts, TasksOptions} from './tasks';

export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly store: ObjectStore;
  readonly logger: Logger;
  readonly random?: () => number;
}

/** Time for which a leaving node still accepts calls while peers and callers are notified, milliseconds. */
const LAME_DUCK_MS = 1_000;
const IDLE_POLL_INTERVAL_MS = 20;
const MILLIS_PER_SECOND = 1_000;
const NANOS_PER_MICRO = 1_000;
/** A boot id is the start time in milliseconds multiplied by this, plus a random number below it. */
const BOOT_IDS_PER_MS = 1_000;
const EVENT_LOOP_RESOLUTION_MS = 50;

/** The node process of one VM. */
export class Node {
  readonly metrics = new Metrics();
  private readonly timers: Timers = new RealTimers({
    onFault: err => this.onFault(err),
  });
  private readonly address: NodeAddress;
  private readonly incarnation = this.timers.wall();
  private readonly store: BudgetedStore;
  private readonly breaker: StoreBreaker;
  private readonly budget: InputBudget;
  private readonly decisions: DecisionLog;
  private readonly loopDelay: IntervalHistogram;
  private tasks: Tasks | undefined;
  private shutdown: Promise<number> | undefined;
  private state: NodeStatus['state'] = 'starting';
  private brokenInvariants = 0;

  constructor(private readonly options: NodeOptions) {
    const {node, callers, platform} = options.settings;
    const random = options.random ?? Math.random;
    this.address = {
      nodeId: node.id,
      bootId:
        this.timers.wall() * BOOT_IDS_PER_MS +
        Math.floor(random() * BOOT_IDS_PER_MS),
      host: node.host,
      dataPort: node.advertised_data_port || node.data_port,
      controlPort: node.advertised_control_port || node.control_port,
      domain: node.domain,
      region: node.region,
    };
    const bucket = new TokenBucket(this.timers.now(), {
      perSecond: platform.calls_per_second,
    });
    this.store = new BudgetedStore({
      inner: options.store,
      bucket,
      now: () => this.timers.now(),
      onFault: err => this.onFault(err),
    });
    this.breaker = new StoreBreaker({random});
    this.budget = new InputBudget({
      maxBytes: callers.buffered_bytes,
      onFault: err => this.onFault(err),
    });
    this.decisions = new DecisionLog(options.logger);
    this.loopDelay = monitorEventLoopDelay({
      resolution: EVENT_LOOP_RESOLUTION_MS,
    });
  }

  /** Listens, joins the fleet and starts to watch the configuration; resolves once all ports listen. */
  async start(): Promise<NodePorts> {
    this.loopDelay.enable();
    const tasks = new Tasks(this.taskOptions());
    this.tasks = tasks;
    const ports = await tasks.listen();
    tasks.control.start();
    this.state = 'serving';
    this.options.logger.info('started', {
      ...ports,
      domain: this.address.domain,
    });
    return ports;
  }

  /**
   * Leaves the fleet: refuses new requests at the gate at once, waits for running
   * requests within the grace period, announces the leaving to the other nodes and
   * closes. Resolves to the number of unfinished requests; repeated calls resolve with the first one.
   */
  shutDown(): Promise<number> {
    this.shutdown ??= this.drainAndClose();
    return this.shutdown;
  }

  /** Stops at once, without waiting for running requests. */
  async close(): Promise<void> {
    this.loopDelay.disable();
    await this.tasks?.close();
    await this.store.close();
  }

  /** State of the node for operators; throws if the node has not been started. */
  status(): NodeStatus {
    const tasks = this.tasks;
    if (tasks === undefined) throw new Error('node has not been started');
    const cpu = process.cpuUsage();
    const {membership} = tasks.control.member;
    return {
      node: this.address.nodeId,
      bootId: this.address.bootId,
      state: this.state,
      configRevision: tasks.control.config.current.revision,
      configAgeMs: Math.round(tasks.control.config.ageMs),
      membershipDigest: membership.digest,
      cutDomains: membership.cutDomains,
      members: memberViews(membership.records()),
      servers: serverStatuses(this.timers.now(), tasks.gateway.serviceRouters),
      quarantined: tasks.gateway.quarantine.quarantinedFingerprints(
        this.timers.wall(),
      ),
      callsOpen: tasks.gateway.callsOpen,
      invariants: {checked: invariantCount(), broken: this.brokenInvariants},
      store: this.store.counts,
      logLinesDropped: this.options.logger.linesDropped,
      process: {
        rssBytes: process.memoryUsage.rss(),
        heapUsedBytes: process.memoryUsage().heapUsed,
        cpuMicros: cpu.user + cpu.system,
        uptimeSeconds: process.uptime(),
        eventLoopP99Us: Math.round(
          this.loopDelay.percentile(99) / NANOS_PER_MICRO,
        ),
      },
    };
  }

  private async drainAndClose(): Promise<number> {
    const tasks = this.tasks;
    if (tasks === undefined) return 0;
    this.state = 'leaving';
    this.options.logger.info('leaving', {
      inFlight: tasks.gate.requestsInFlight,
    });
    const graceMs =
      this.options.settings.node.grace_seconds * MILLIS_PER_SECOND;
    const graceEndsAt = this.timers.now() + graceMs;
    tasks.gateway.beginClosing({
      acceptsUntil: this.timers.now() + Math.min(LAME_DUCK_MS, graceMs),
      closesAt: graceEndsAt,
    });
    tasks.gate.post({type: 'drain'});
    await this.timers.sleep(Math.min(LAME_DUCK_MS, graceMs));
    tasks.gateway.stopAccepting();
    while (!tasks.isIdle && this.timers.now() < graceEndsAt)
      await this.timers.sleep(IDLE_POLL_INTERVAL_MS);
    const unfinished = tasks.gate.requestsInFlight + tasks.gateway.callsOpen;
    await tasks.control.leave();
    await this.timers.sleep(LAME_DUCK_MS / 10);
    await this.close();
    this.options.logger.info('left', {unfinished});
    return unfinished;
  }

  private taskOptions(): TasksOptions {
    const {settings, logger, random = Math.random} = this.options;
    return {
      settings,
      logger,
      random,
      timers: this.timers,
      address: this.address,
      incarnation: this.incarnation,
      store: this.store,
      breaker: this.breaker,
      budget: this.budget,
      decisions: this.decisions,
      metrics: this.metrics,
      status: () => this.status(),
      onFault: err => this.onFault(err),
    };
  }

  private onFault(err: unknown): void {
    const isInvariantError = err instanceof InvariantError;
    if (isInvariantError) this.brokenInvariants++;
    const detail = err instanceof Error ? err.message : String(err);
    this.options.logger.error(isInvariantError ? 'invariantBroken' : 'fault', {
      detail,
    });
  }
}
