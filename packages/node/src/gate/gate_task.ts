/** Task that owns the links to the servers of this VM and the ledger of attempts. */
import {AttemptLedger} from '@goldcresthill/attempts';
import {runGuarded} from '@goldcresthill/errors';
import type {ErrorKind} from '@goldcresthill/errors';
import {AnnouncementOrder, NestedCallDetector} from '@goldcresthill/gate';
import type {ServerVerification} from '@goldcresthill/gate';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {
  AdmissionEstimate,
  AdmissionQuery,
  AttemptId,
  Millis,
  ServerRecord,
  ServiceRules,
} from '@goldcresthill/types';
import {fingerprintOf} from '../fingerprint';
import {Task} from '../task';
import type {
  Announcement,
  AttemptRequest,
  AttemptResult,
  GateEvacuation,
  GateEvents,
  GateMessage,
  BufferedAnswer,
} from './messages';
import type {ServerConnections} from './server_connections';
import type {ServerInterface} from './server_interface';
import {ServerLink} from './server_link';

export interface GateTaskOptions {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly timers: Timers;
  /** Creates the connections to a server that announced itself. */
  readonly connect: (announcement: Announcement) => ServerConnections;
  /** Request headers for servers and classification of their answers. */
  readonly serverInterface: ServerInterface;
  /** Time without an announcement after which a server is removed, milliseconds. */
  readonly announceTtlMs?: number;
  /** Time for which the ledger keeps the outcomes of attempts, milliseconds. */
  readonly ledgerRetentionMs?: number;
  /** Verifies servers that may have left before this process started; without it, each server that announces itself is used. */
  readonly verification?: ServerVerification | undefined;
  readonly events: GateEvents;
}

/** Several times the interval at which servers announce themselves, milliseconds. */
const DEFAULT_ANNOUNCE_TTL_MS = 3_500;
/** Interval at which links with queued requests are checked, milliseconds. */
const QUEUE_CHECK_INTERVAL_MS = 100;
/** Interval at which expired ledger entries and servers without announcements are removed, milliseconds. */
const TICK_INTERVAL_MS = 1_000;
/** Time since the last tick from which this process counts as paused, milliseconds. Timers of a busy process are late by less. */
const PAUSE_THRESHOLD_MS = 2_500;

/** Admits, queues or refuses attempts; all requests to the servers of this VM pass through it. */
export class GateTask extends Task<GateMessage> {
  private readonly links = new Map<string, ServerLink>();
  private readonly ledger: AttemptLedger<BufferedAnswer>;
  private readonly announcementOrder = new AnnouncementOrder();
  private readonly nestedCallDetector = new NestedCallDetector();
  private readonly cancelTick: Cancel;
  private readonly cancelVerification: Cancel;
  private rules: ReadonlyMap<string, ServiceRules> = new Map();
  private drainedServices = new Set<string>();
  private leaving = false;
  private cancelQueueCheck: Cancel | undefined;
  private lastPublished = '[]';
  private isConfigured = false;
  private evacuation: GateEvacuation = 'none';
  private followsEvacuations = false;
  private tickedAt: Millis;
  private readonly startedAt: Millis;
  /** Time at which the link to a server was given up, by its instance; only the newest. */
  private retired: {instance: string; at: Millis} | undefined;

  constructor(private readonly options: GateTaskOptions) {
    super();
    this.startedAt = options.timers.now();
    this.tickedAt = this.startedAt;
    this.ledger = new AttemptLedger({
      incarnation: options.incarnation,
      retentionMs: options.ledgerRetentionMs,
    });
    this.cancelTick = options.timers.every(TICK_INTERVAL_MS, () =>
      this.post({type: 'tick'}),
    );
    this.cancelVerification = this.scheduleVerification();
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.cancelTick();
    this.cancelVerification();
    this.cancelQueueCheck?.();
    await Promise.all([...this.links.values()].map(link => link.close()));
  }

  /** Whether no request runs or is queued at any server of this VM. */
  get isIdle(): boolean {
    return [...this.links.values()].every(link => link.inFlight === 0);
  }

  get requestsInFlight(): number {
    return [...this.links.values()].reduce(
      (sum, link) => sum + link.inFlight,
      0,
    );
  }

  /** Load of a server of this VM, for probes; undefined if there is no such server. */
  reportOf(service: string) {
    return this.links.get(service)?.report();
  }

  /** Estimates whether the gate of a server of this VM would admit a call; undefined if there is no such server. */
  estimateAdmission(
    query: AdmissionQuery,
    done: (estimate: AdmissionEstimate | undefined) => void,
  ): void {
    const link = this.links.get(query.service);
    if (link === undefined) {
      done(undefined);
      return;
    }
    if (this.refusalOf(link) !== undefined) {
      done({report: link.report(), accepts: false});
      return;
    }
    const {route, origin, remainingMs} = query;
    const nested =
      this.prefersNested(query.service) &&
      this.nestedCallDetector.isNested(route, origin);
    const prioritized = nested
      ? {...query, priority: 0, objectiveRemainingMs: remainingMs}
      : query;
    link.estimateAdmission(prioritized, done);
  }

  get servers(): ServerRecord[] {
    return [...this.links.values()].map(link => link.record);
  }

  /** Server processes that announced their shutdown. */
  get leavingServers(): string[] {
    return this.announcementOrder.leftInstances;
  }

  /** Whether the ledger has an entry for an attempt. */
  hasLedgerEntry(id: AttemptId): boolean {
    return this.ledger.stateOf(id) !== undefined;
  }

  get ledgerSize(): number {
    return this.ledger.size;
  }

  protected override handle(message: GateMessage): void {
    switch (message.type) {
      case 'attempt':
        message.provideCancel(this.guardedCancel(this.attempt(message.req)));
        return;
      case 'resolve': {
        const {id, gateIncarnation} = message;
        message.reply(
          this.ledger.resolve(this.options.timers.now(), id, gateIncarnation),
        );
        return;
      }
      case 'acknowledge':
        this.ledger.acknowledge(message.id);
        return;
      case 'announce':
        this.announce(message.announcement);
        return;
      case 'left':
        message.instances.forEach(instance => this.markLeft(instance));
        return;
      case 'configure':
        this.configure(message.rules);
        return;
      case 'drain':
        this.leaving = true;
        this.links.forEach(link => link.drain());
        this.publishServers();
        return;
      case 'evacuate':
        this.evacuate(message.evacuation);
        return;
      case 'tick':
        this.tick();
        return;
      case 'verificationDue':
        this.updateDrains();
        return;
      case 'checkQueues':
        this.links.forEach(link => link.tick());
        this.scheduleQueueCheck();
        return;
    }
  }

  protected override onFault(err: unknown): void {
    this.options.events.onFault(err);
  }

  // Callers disconnect outside of the handling of a message.
  private guardedCancel(cancel: () => void): () => void {
    return () => runGuarded(this.options.events.onFault, cancel);
  }

  private attempt(req: AttemptRequest): () => void {
    const kind = this.register(req);
    if (kind !== undefined) {
      this.replyNotAdmitted(req, kind);
      return () => undefined;
    }
    const link = this.links.get(req.service);
    if (link === undefined) {
      this.finishAttempt(req, {
        type: 'refused',
        kind: 'noServer',
        report: undefined,
        gateUs: 0,
      });
      return () => undefined;
    }
    const refusal = this.refusalOf(link);
    if (refusal !== undefined) {
      const report = link.report();
      const kind = refusal;
      this.finishAttempt(req, {type: 'refused', kind, report, gateUs: 0});
      return () => undefined;
    }
    const cancel = link.attempt(this.prioritizeNestedCall(req));
    this.scheduleQueueCheck();
    return cancel;
  }

  // A process that has just started may not know yet whether its domain is evacuated, and
  // before the first configuration not what a cold server tolerates.
  private refusalOf(link: ServerLink): ErrorKind | undefined {
    if (this.evacuation === 'unknown') return 'draining';
    // Requests that waited while this process stood still are read before the news of that time.
    const sinceTickMs = this.options.timers.now() - this.tickedAt;
    if (this.followsEvacuations && sinceTickMs > PAUSE_THRESHOLD_MS)
      return 'draining';
    return !this.isConfigured && link.isCold ? 'queueFull' : undefined;
  }

  // Refusing a nested call wastes the work of the request that made it, so nested calls
  // get the highest priority and an objective that lasts until their deadline.
  private prioritizeNestedCall(req: AttemptRequest): AttemptRequest {
    const nested = this.nestedCallDetector.observe(req.route, req.origin);
    return nested && this.prefersNested(req.service)
      ? {...req, priority: 0, objective: req.deadline}
      : req;
  }

  private prefersNested(service: string): boolean {
    return !this.rules.get(service)?.disabled.includes('nestedCalls');
  }

  private register(req: AttemptRequest): ErrorKind | undefined {
    const {id, gateIncarnation} = req;
    const decision = req.once
      ? this.ledger.register(this.options.timers.now(), id, gateIncarnation)
      : this.ledger.checkRepeatable(id, gateIncarnation);
    return decision.type === 'refuse' ? decision.kind : undefined;
  }

  // A duplicate that is not admitted does not show whether the attempt has run; only the
  // ledger does. Only the kinds that prove that it has not are reported as refusals.
  private replyNotAdmitted(req: AttemptRequest, kind: ErrorKind): void {
    const provenNotRun = kind === 'wrongIncarnation' || kind === 'fenced';
    const report = this.links.get(req.service)?.report();
    const type = provenNotRun ? 'refused' : 'broke';
    req.reply({type, kind, report, gateUs: 0});
  }

  private finishAttempt(req: AttemptRequest, result: AttemptResult): void {
    if (req.once) this.recordOutcome(req, result);
    else if (result.type === 'refused') {
      this.ledger.recordRefusal(this.options.timers.now(), req.id, result.kind);
    }
    if (result.type === 'answered') {
      this.options.events.onCompleted(() => fingerprintOf(req));
    } else {
      this.logRefusal(req, result);
    }
    req.reply(result);
  }

  private recordOutcome(req: AttemptRequest, result: AttemptResult): void {
    const {id} = req;
    if (result.type === 'refused') this.ledger.refuse(id, result.kind);
    if (result.type === 'broke') this.ledger.markBroken(id, result.kind);
    if (result.type !== 'answered') return;
    const {status, headers, body} = result;
    if (body.type === 'stream') this.ledger.finish(id, undefined, 0);
    else {
      const kept = {status, headers, body: body.bytes};
      this.ledger.finish(id, kept, body.bytes.length);
    }
  }

  private logRefusal(
    req: AttemptRequest,
    result: AttemptResult & {type: 'refused' | 'broke'},
  ): void {
    const {callId, service, priority, returning} = req;
    const now = this.options.timers.now();
    this.options.events.onDecision({
      what: 'gate',
      callId,
      service,
      reason: result.kind,
      priority,
      returning,
      objectiveLeftMs: Math.round(req.objective - now),
      deadlineLeftMs: Math.round(req.deadline - now),
      load: result.report,
      gateUs: result.gateUs,
    });
  }

  private announce(announcement: Announcement): void {
    const {version, instance, state} = announcement;
    const upAfterLeaving =
      state === 'up' && this.announcementOrder.hasLeft(instance);
    if (
      upAfterLeaving ||
      (version !== undefined && !this.announcementOrder.accept(version))
    ) {
      this.options.events.onDecision({
        what: 'lateAnnouncement',
        instance,
        state,
      });
      return;
    }
    if (state === 'draining') this.announcementOrder.markLeft(instance);
    else this.recordVerification(announcement);
    const current = this.links.get(announcement.service);
    const replaced =
      current !== undefined && current.instance !== announcement.instance;
    if (current === undefined || replaced || current.isDead) {
      if (current !== undefined) this.retireReplaced(current);
      if (announcement.state === 'up') this.openLink(announcement);
      return;
    }
    current.lastAnnouncedAt = this.options.timers.now();
    if (announcement.coldMs !== undefined) current.setCold(announcement.coldMs);
    if (this.options.verification !== undefined) this.updateDrains();
    if (announcement.state === 'draining' && !current.isLeaving) {
      current.leave();
      this.publishServers();
    }
  }

  // Applies the shutdown of a server process that it announced in an answer, or to an earlier process of this node.
  private markLeft(instance: string): void {
    if (this.announcementOrder.hasLeft(instance)) return;
    this.announcementOrder.markLeft(instance);
    for (const link of this.links.values()) {
      if (link.instance === instance) link.leave();
    }
    this.publishServers();
  }

  private openLink(announcement: Announcement): void {
    const rules = this.rules.get(announcement.service) ?? DEFAULT_SERVICE_RULES;
    const link = new ServerLink({
      announcement,
      rules,
      timers: this.options.timers,
      connections: this.options.connect(announcement),
      serverInterface: this.options.serverInterface,
      usedAt: this.usedAt(announcement.instance),
      events: {
        onCold: ({service, instance}, coldMs) =>
          this.options.events.onDecision({
            what: 'serverCold',
            service,
            instance,
            coldMs: Math.round(coldMs),
          }),
        onStart: req => {
          if (req.once) this.ledger.start(req.id);
        },
        onEnd: (req, result) => this.finishAttempt(req, result),
        onCancelled: (req, {state, heldMs}) =>
          this.options.events.onDecision({
            what: 'cancelled',
            callId: req.callId,
            service: req.service,
            once: req.once,
            state,
            heldMs: Math.round(heldMs),
          }),
        onStreamBroken: ({callId, service, once}, reason) =>
          this.options.events.onDecision({
            what: 'streamBroken',
            callId,
            service,
            once,
            reason,
          }),
        onLeaving: ({instance}) => {
          this.markLeft(instance);
          this.options.events.onServerLeaving(instance);
        },
        onRateLimitChanged: ({service, instance}, requestsPerSecond, source) =>
          this.options.events.onDecision({
            what: 'serverLimit',
            service,
            instance,
            requestsPerSecond,
            source,
          }),
        onDied: (dead, fingerprints) => {
          this.options.events.onServerDied(dead.instance, fingerprints);
          this.publishServers();
        },
        onDrained: () => this.publishServers(),
        onFault: this.options.events.onFault,
      },
    });
    this.links.set(announcement.service, link);
    link.setCold(announcement.coldMs ?? this.coldMsSinceStart(announcement));
    if (this.isDrained(link)) link.drain();
    this.publishServers();
  }

  // An earlier process of this node, or an earlier link, may have sent requests until then.
  private usedAt(instance: string): Millis {
    const {retired} = this;
    return retired?.instance === instance ? retired.at : this.startedAt;
  }

  // A server is cold after its start, also if its report does not say for how long.
  private coldMsSinceStart({service, version}: Announcement): Millis {
    const coldStartMs = this.rules.get(service)?.coldStartMs ?? 0;
    if (version === undefined || coldStartMs === 0) return 0;
    const ageMs = this.options.timers.wall() - version.startedAt;
    return Math.min(coldStartMs, coldStartMs - ageMs);
  }

  // A server that announces another instance has died in between; requests whose
  // connections broke shortly before were in flight at its death.
  private retireReplaced(replaced: ServerLink): void {
    const fingerprints = replaced.recentlyBrokenFingerprints();
    if (!replaced.isDead && fingerprints.length > 0) {
      this.options.events.onServerDied(replaced.instance, fingerprints);
    }
    this.removeLink(replaced);
  }

  private removeLink(link: ServerLink): void {
    this.retired = {instance: link.instance, at: this.options.timers.now()};
    link.markDown();
    if (this.links.get(link.service) === link) this.links.delete(link.service);
    this.closeWhenIdle(link);
    this.publishServers();
  }

  private closeWhenIdle(link: ServerLink): void {
    if (link.inFlight === 0) {
      runGuarded(this.options.events.onFault, () => link.close());
      return;
    }
    this.options.timers.after(QUEUE_CHECK_INTERVAL_MS, () =>
      this.closeWhenIdle(link),
    );
  }

  private configure(rules: ReadonlyMap<string, ServiceRules>): void {
    this.rules = rules;
    this.isConfigured = true;
    const draining = new Set<string>();
    for (const [service, rule] of rules) {
      if (rule.drainNodes.includes(this.options.nodeId)) draining.add(service);
    }
    this.drainedServices = draining;
    for (const [service, link] of this.links) {
      const rule = rules.get(service);
      if (rule !== undefined) link.configure(rule);
    }
    this.updateDrains();
  }

  private evacuate(evacuation: GateEvacuation): void {
    this.evacuation = evacuation;
    this.followsEvacuations = true;
    this.updateDrains();
  }

  private updateDrains(): void {
    for (const link of this.links.values()) {
      if (this.isDrained(link)) link.drain();
      else if (!link.isLeaving) link.gate.undrain();
    }
    this.publishServers();
  }

  private isDrained({service, instance}: ServerLink): boolean {
    const isEvacuated = this.evacuation === 'evacuated';
    const {verification, timers} = this.options;
    const isUsable = verification?.mayUse(timers.now(), instance) ?? true;
    return (
      this.leaving ||
      isEvacuated ||
      !isUsable ||
      this.drainedServices.has(service)
    );
  }

  private scheduleVerification(): Cancel {
    const {verification, timers} = this.options;
    if (verification === undefined) return () => undefined;
    // Timers of Node.js count whole milliseconds, and must not run before the grace period has ended.
    const graceMs = Math.ceil(verification.graceEndsAt - timers.now()) + 1;
    return timers.after(Math.max(0, graceMs), () =>
      this.post({type: 'verificationDue'}),
    );
  }

  private recordVerification({
    instance,
    version,
    evidence = 'none',
  }: Announcement): void {
    const {verification, timers, events} = this.options;
    if (verification === undefined || version === undefined) return;
    const {sequence} = version;
    const now = timers.now();
    const wasUsable = verification.mayUse(now, instance);
    verification.record(now, {instance, sequence, evidence});
    const isVerified = verification.isVerified(instance);
    if (!verification.mayUse(now, instance))
      events.onDecision({what: 'serverUnverified', instance, sequence});
    else if (!wasUsable && isVerified)
      events.onDecision({what: 'serverVerified', instance, sequence});
  }

  private tick(): void {
    const now: Millis = this.options.timers.now();
    this.tickedAt = now;
    const ttlMs = this.options.announceTtlMs ?? DEFAULT_ANNOUNCE_TTL_MS;
    for (const link of this.links.values()) {
      link.tick();
      if (now - link.lastAnnouncedAt > ttlMs) this.removeLink(link);
    }
    this.ledger.evict(now);
  }

  // Only links with queued requests are checked at the short interval.
  private scheduleQueueCheck(): void {
    const queued = [...this.links.values()].filter(link => link.hasQueued);
    if (
      queued.length === 0 ||
      this.closed ||
      this.cancelQueueCheck !== undefined
    )
      return;
    const rateWaits = queued.map(link => link.rateWaitMs).filter(ms => ms > 0);
    this.cancelQueueCheck = this.options.timers.after(
      Math.min(QUEUE_CHECK_INTERVAL_MS, ...rateWaits),
      () => {
        this.cancelQueueCheck = undefined;
        this.post({type: 'checkQueues'});
      },
    );
  }

  private publishServers(): void {
    const {servers} = this;
    const serialized = JSON.stringify(servers);
    if (serialized === this.lastPublished) return;
    this.lastPublished = serialized;
    this.options.events.onServers(servers);
  }
}
