/** Task that owns the servers of this VM and the ledger of attempts. */
import {AttemptLedger} from '@goldcresthill/attempts';
import type {ErrorKind} from '@goldcresthill/errors';
import {AnnouncementOrder, NestedCallDetector} from '@goldcresthill/gate';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {
  AttemptId,
  LoadReport,
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
  GateEvents,
  GateMessage,
  KeptAnswer,
} from './messages';
import type {ServerConnections} from './server_connections';
import type {ServerInterface} from './server_interface';
import {ServerLink} from './server_link';

/** What the task starts from. */
export interface GateTaskOptions {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly timers: Timers;
  /** Opens the connections to a server that announced itself. */
  readonly connect: (announcement: Announcement) => ServerConnections;
  /** How servers are spoken to. */
  readonly server: ServerInterface;
  /** Time without an announcement after which a server is taken for gone, milliseconds. */
  readonly announceTtlMs?: number;
  /** Time for which outcomes of attempts are remembered, milliseconds. */
  readonly ledgerRetentionMs?: number;
  readonly events: GateEvents;
}

/** Several times the interval at which servers announce themselves, milliseconds. */
const DEFAULT_ANNOUNCE_TTL_MS = 3_500;
/** Interval at which requests in line are looked at, milliseconds. */
const LINE_TICK_MS = 100;
/** Interval at which old entries are dropped and silent servers are noticed, milliseconds. */
const TICK_MS = 1_000;

/** The only way to the servers of this VM. */
export class GateTask extends Task<GateMessage> {
  private readonly links = new Map<string, ServerLink>();
  private readonly ledger: AttemptLedger<KeptAnswer>;
  private readonly order = new AnnouncementOrder();
  private readonly origins = new NestedCallDetector();
  private readonly timer: Cancel;
  private rules: ReadonlyMap<string, ServiceRules> = new Map();
  private drainedServices = new Set<string>();
  private leaving = false;
  private lineTimer: Cancel | undefined;
  private lastTold = '[]';

  constructor(private readonly options: GateTaskOptions) {
    super();
    this.ledger = new AttemptLedger({
      incarnation: options.incarnation,
      retentionMs: options.ledgerRetentionMs,
    });
    this.timer = options.timers.every(TICK_MS, () => this.post({type: 'tick'}));
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.timer();
    this.lineTimer?.();
    await Promise.all([...this.links.values()].map(link => link.close()));
  }

  /** Whether nothing runs or waits at any server of this VM. */
  get isIdle(): boolean {
    return [...this.links.values()].every(link => link.inFlight === 0);
  }

  get requestsInFlight(): number {
    return [...this.links.values()].reduce(
      (sum, link) => sum + link.inFlight,
      0,
    );
  }

  /** Load of a server of this VM, for probes. */
  reportOf(service: string) {
    return this.links.get(service)?.report();
  }

  /** Load of a server of this VM with its speed of now; undefined if there is no such server. */
  freshReport(
    service: string,
    done: (report: LoadReport | undefined) => void,
  ): void {
    const link = this.links.get(service);
    if (link === undefined) done(undefined);
    else link.freshReport(done);
  }

  get servers(): ServerRecord[] {
    return [...this.links.values()].map(link => link.record);
  }

  /** Server processes that have said that they leave. */
  get leavingServers(): string[] {
    return this.order.leftInstances;
  }

  /** Whether the ledger has an entry for an attempt. */
  ledgerKnows(id: AttemptId): boolean {
    return this.ledger.stateOf(id) !== undefined;
  }

  get ledgerSize(): number {
    return this.ledger.size;
  }

  protected override handle(message: GateMessage): void {
    switch (message.type) {
      case 'attempt':
        message.onHandle(this.attempt(message.req));
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
        message.instances.forEach(instance => this.takeLeft(instance));
        return;
      case 'configure':
        this.configure(message.rules);
        return;
      case 'drain':
        this.leaving = true;
        this.links.forEach(link => link.drain());
        this.tellServers();
        return;
      case 'tick':
        this.tick();
        return;
      case 'line':
        this.links.forEach(link => link.tick());
        this.watchLines();
        return;
    }
  }

  protected override onFault(err: unknown): void {
    this.options.events.onFault(err);
  }

  private attempt(req: AttemptRequest): () => void {
    const kind = this.register(req);
    if (kind !== undefined) {
      this.answerRefusal(req, kind);
      return () => undefined;
    }
    const link = this.links.get(req.service);
    if (link === undefined) {
      this.end(req, {
        type: 'refused',
        kind: 'noServer',
        report: undefined,
        gateUs: 0,
      });
      return () => undefined;
    }
    const cancel = link.attempt(this.withUrgency(req));
    this.watchLines();
    return cancel;
  }

  // Without the calls of a request that runs elsewhere, what it has done is lost.
  private withUrgency(req: AttemptRequest): AttemptRequest {
    const nested = this.origins.observe(req.route, req.origin);
    return nested ? {...req, priority: 0, objective: req.deadline} : req;
  }

  private register(req: AttemptRequest): ErrorKind | undefined {
    const {id, gateIncarnation} = req;
    const arrival = req.once
      ? this.ledger.register(this.options.timers.now(), id, gateIncarnation)
      : this.ledger.checkRepeatable(id, gateIncarnation);
    return arrival.type === 'refuse' ? arrival.kind : undefined;
  }

  // A second arrival of an attempt says nothing of the first; only the ledger does.
  private answerRefusal(req: AttemptRequest, kind: ErrorKind): void {
    const known = kind === 'wrongIncarnation' || kind === 'fenced';
    const report = this.links.get(req.service)?.report();
    const type = known ? 'refused' : 'broke';
    req.reply({type, kind, report, gateUs: 0});
  }

  private end(req: AttemptRequest, result: AttemptResult): void {
    if (req.once) this.record(req, result);
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

  private record(req: AttemptRequest, result: AttemptResult): void {
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
    const {mark, instance, state} = announcement;
    const back = state === 'up' && this.order.hasLeft(instance);
    if (back || (mark !== undefined && !this.order.accept(mark))) {
      this.options.events.onDecision({
        what: 'lateAnnouncement',
        instance,
        state,
      });
      return;
    }
    if (state === 'draining') this.order.markLeft(instance);
    const known = this.links.get(announcement.service);
    const replaced =
      known !== undefined && known.instance !== announcement.instance;
    if (known === undefined || replaced || known.isDead) {
      if (known !== undefined) this.replace(known);
      if (announcement.state === 'up') this.open(announcement);
      return;
    }
    known.heardAt = this.options.timers.now();
    if (announcement.state === 'draining' && known.gate.state === 'up') {
      known.leave();
      this.tellServers();
    }
  }

  // Word of a leaving that an earlier process of this node acknowledged.
  private takeLeft(instance: string): void {
    if (this.order.hasLeft(instance)) return;
    this.order.markLeft(instance);
    for (const link of this.links.values()) {
      if (link.instance === instance) link.leave();
    }
    this.tellServers();
  }

  private open(announcement: Announcement): void {
    const rules = this.rules.get(announcement.service) ?? DEFAULT_SERVICE_RULES;
    const link = new ServerLink({
      announcement,
      rules,
      timers: this.options.timers,
      connections: this.options.connect(announcement),
      server: this.options.server,
      events: {
        onStart: req => {
          if (req.once) this.ledger.start(req.id);
        },
        onEnd: (req, result) => this.end(req, result),
        onDied: (dead, fingerprints) => {
          this.options.events.onServerDied(dead.instance, fingerprints);
          this.tellServers();
        },
        onDrained: () => this.tellServers(),
      },
    });
    this.links.set(announcement.service, link);
    if (this.leaving || this.drainedServices.has(announcement.service))
      link.drain();
    this.tellServers();
  }

  // A server that came back with another identity has died in between.
  private replace(known: ServerLink): void {
    const suspects = known.recentlyBroken();
    if (!known.isDead && suspects.length > 0) {
      this.options.events.onServerDied(known.instance, suspects);
    }
    this.dismiss(known);
  }

  private dismiss(link: ServerLink): void {
    link.stop();
    if (this.links.get(link.service) === link) this.links.delete(link.service);
    this.closeWhenIdle(link);
    this.tellServers();
  }

  private closeWhenIdle(link: ServerLink): void {
    if (link.inFlight === 0) {
      void link.close();
      return;
    }
    this.options.timers.after(LINE_TICK_MS, () => this.closeWhenIdle(link));
  }

  private configure(rules: ReadonlyMap<string, ServiceRules>): void {
    this.rules = rules;
    const draining = new Set<string>();
    for (const [service, rule] of rules) {
      if (rule.drainNodes.includes(this.options.nodeId)) draining.add(service);
    }
    this.drainedServices = draining;
    for (const [service, link] of this.links) {
      const rule = rules.get(service);
      if (rule !== undefined) link.configure(rule);
      if (draining.has(service)) link.drain();
      else if (!this.leaving && !link.isLeaving) link.gate.undrain();
    }
    this.tellServers();
  }

  private tick(): void {
    const now: Millis = this.options.timers.now();
    const ttlMs = this.options.announceTtlMs ?? DEFAULT_ANNOUNCE_TTL_MS;
    for (const link of this.links.values()) {
      link.tick();
      if (now - link.heardAt > ttlMs) this.dismiss(link);
    }
    this.ledger.evict(now);
  }

  // Only requests in line are to be looked at often.
  private watchLines(): void {
    const waiting = [...this.links.values()].some(link => link.hasWaiting);
    if (!waiting || this.closed || this.lineTimer !== undefined) return;
    this.lineTimer = this.options.timers.after(LINE_TICK_MS, () => {
      this.lineTimer = undefined;
      this.post({type: 'line'});
    });
  }

  private tellServers(): void {
    const {servers} = this;
    const told = JSON.stringify(servers);
    if (told === this.lastTold) return;
    this.lastTold = told;
    this.options.events.onServers(servers);
  }
}
