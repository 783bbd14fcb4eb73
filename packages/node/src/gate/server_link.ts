/** Link to one server on this VM: its gate, its connections and what runs there. */
import {connect} from 'node:net';
import type {ErrorKind} from '@goldcresthill/errors';
import {Gate} from '@goldcresthill/gate';
import type {GateCommand, Outcome} from '@goldcresthill/gate';
import {HEADERS} from '@goldcresthill/protocol';
import type {
  LoadReport,
  Millis,
  ServerRecord,
  ServiceRules,
} from '@goldcresthill/types';
import {Pool} from 'undici';
import {monotonicMs} from '../clock';
import {fingerprintOf} from '../fingerprint';
import {HttpExchange} from '../http/exchange';
import type {ExchangeResult} from '../http/exchange';
import type {Announcement, AttemptRequest, AttemptResult} from './messages';

/** What happens at a link, told to the gate task. */
export interface LinkEvents {
  /** The attempt goes to the server now. */
  readonly onStart: (req: AttemptRequest) => void;
  readonly onEnd: (req: AttemptRequest, result: AttemptResult) => void;
  readonly onDied: (link: ServerLink, fingerprints: readonly string[]) => void;
  readonly onDrained: (link: ServerLink) => void;
}

interface Running {
  readonly req: AttemptRequest;
  readonly arrivedAt: Millis;
  exchange: HttpExchange | undefined;
  started: boolean;
}

const CONNECT_TIMEOUT_MS = 500;
const IDLE_CONNECTION_MS = 2_000;
const CHECK_TIMEOUT_MS = 300;
const MICROS_PER_MILLI = 1_000;
/** Extra time given to the server beyond the deadline before its connection is closed, milliseconds. */
const DEADLINE_SLACK_MS = 50;
/** Time within which a server that comes back anew is taken to have died of these, milliseconds. */
const BROKEN_MEMORY_MS = 5_000;
const MAX_BROKEN = 256;
const DEADLINE_PASSED = 'deadline passed';
const CANCELLED = 'cancelled';
/** Exchanges that this link ended by itself say nothing about the server. */
const ABORT_KINDS: ReadonlyMap<string, ErrorKind> = new Map([
  [DEADLINE_PASSED, 'deadlinePassed'],
  [CANCELLED, 'connectionLost'],
]);

/** Owns the connections to one server process. */
export class ServerLink {
  readonly gate: Gate;
  private readonly pool: Pool;
  private readonly requests = new Map<number, Running>();
  private refs = 0;
  private checking = false;
  private died = false;
  private leaving = false;
  private broken: Array<{at: Millis; fingerprint: string}> = [];
  heardAt: Millis;

  constructor(
    private readonly announcement: Announcement,
    private rules: ServiceRules,
    private readonly events: LinkEvents,
  ) {
    const now = monotonicMs();
    this.heardAt = now;
    this.gate = new Gate(now, {slots: announcement.slots, rules});
    this.pool = new Pool(`http://127.0.0.1:${announcement.port}`, {
      connections: announcement.slots,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      keepAliveTimeout: IDLE_CONNECTION_MS,
    });
  }

  get service(): string {
    return this.announcement.service;
  }

  get instance(): string {
    return this.announcement.instance;
  }

  get isDead(): boolean {
    return this.died;
  }

  /** The server as members are told of it. */
  get record(): ServerRecord {
    const {service, port, slots, instance} = this.announcement;
    return {service, port, slots, instance, state: this.gate.state};
  }

  report(): LoadReport {
    return this.gate.report(monotonicMs());
  }

  /** Runs, queues or refuses an attempt; answers a function that cancels it. */
  attempt(req: AttemptRequest): () => void {
    const now = monotonicMs();
    const ref = this.refs++;
    const entry = {req, arrivedAt: now, exchange: undefined, started: false};
    this.requests.set(ref, entry);
    const {deadline, suspect} = req;
    const admission = this.gate.admit(now, {ref, deadline, suspect});
    if (admission.type === 'start') this.start(ref, entry);
    if (admission.type === 'refuse') this.refuse(ref, admission.kind);
    return () => this.cancel(ref);
  }

  configure(rules: ServiceRules): void {
    this.rules = rules;
    this.gate.configure(rules);
  }

  drain(): void {
    this.execute(this.gate.drain());
  }

  /** The server said that it is leaving, which no ticket takes back. */
  leave(): void {
    this.leaving = true;
    this.drain();
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Requests whose connections broke not long ago, though the server was not found dead. */
  recentlyBroken(): string[] {
    const since = monotonicMs() - BROKEN_MEMORY_MS;
    return this.broken.filter(e => e.at >= since).map(e => e.fingerprint);
  }

  tick(): void {
    this.execute(this.gate.advance(monotonicMs()));
  }

  /** The server no longer announces itself: nothing more goes there, what runs goes on. */
  stop(): void {
    this.died = true;
    this.execute(this.gate.markDown());
  }

  get inFlight(): number {
    return this.requests.size;
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private execute(commands: readonly GateCommand[]): void {
    for (const command of commands) {
      switch (command.type) {
        case 'start': {
          const entry = this.requests.get(command.ref);
          if (entry !== undefined) this.start(command.ref, entry);
          break;
        }
        case 'refuse':
          this.refuse(command.ref, command.kind);
          break;
        case 'drained':
          this.events.onDrained(this);
          break;
      }
    }
  }

  private start(ref: number, entry: Running): void {
    entry.started = true;
    this.events.onStart(entry.req);
    const {req} = entry;
    const left = Math.max(1, Math.round(req.deadline - monotonicMs()));
    const exchange = new HttpExchange(
      {
        method: req.method,
        path: req.path,
        headers: {...req.headers, [HEADERS.deadlineMs]: String(left)},
        body: req.body,
        maxBufferedBytes: this.rules.maxBufferedBytes,
      },
      result => {
        clearTimeout(timer);
        this.ended(ref, entry, result);
      },
      () => this.release(ref, 'ok'),
    );
    const timer = setTimeout(
      () => exchange.abort(DEADLINE_PASSED),
      left + DEADLINE_SLACK_MS,
    );
    entry.exchange = exchange;
    exchange.start(this.pool);
  }

  private ended(ref: number, entry: Running, result: ExchangeResult): void {
    if (result.type === 'answer') {
      this.answered(ref, entry, result);
      return;
    }
    if (!result.sent) {
      this.release(ref, 'failed');
      this.tell(entry, {type: 'refused', kind: 'serverUnreachable'});
      void this.checkServer(ref);
      return;
    }
    const ownKind = ABORT_KINDS.get(result.err.message);
    if (ownKind !== undefined) {
      this.release(ref, 'failed');
      this.tell(entry, {type: 'broke', kind: ownKind});
      return;
    }
    void this.lost(ref, entry);
  }

  private answered(
    ref: number,
    entry: Running,
    result: ExchangeResult & {type: 'answer'},
  ): void {
    const {status, headers, body} = result;
    const shed = this.rules.shedStatuses.includes(status);
    // A streamed answer holds its slot until its end.
    if (body.type === 'whole') this.release(ref, shed ? 'shed' : 'ok');
    if (shed && body.type === 'whole') {
      this.tell(entry, {type: 'refused', kind: 'shedByServer'});
      return;
    }
    this.tell(entry, {type: 'answered', status, headers, body});
  }

  // The answer waits for the check, as the gateway treats a death differently.
  private async lost(ref: number, entry: Running): Promise<void> {
    this.rememberBroken();
    const dead = await this.checkServer(ref);
    this.release(ref, 'failed');
    this.tell(entry, {
      type: 'broke',
      kind: dead ? 'serverDied' : 'connectionLost',
    });
  }

  private async checkServer(ref: number): Promise<boolean> {
    if (this.died) return true;
    const suspects = this.startedRequests(ref);
    if (this.checking) return this.waitForCheck();
    this.checking = true;
    const accepts = await canConnect(this.announcement.port);
    this.checking = false;
    if (accepts || this.died) return this.died;
    this.died = true;
    this.events.onDied(this, suspects.map(fingerprintOf));
    this.execute(this.gate.markDown());
    return true;
  }

  private async waitForCheck(): Promise<boolean> {
    await new Promise(done => setTimeout(done, CHECK_TIMEOUT_MS / 10));
    return this.checking ? this.waitForCheck() : this.died;
  }

  private rememberBroken(): void {
    const at = monotonicMs();
    const old = this.broken.slice(-MAX_BROKEN);
    const now = this.startedRequests(-1).map(req => ({
      at,
      fingerprint: fingerprintOf(req),
    }));
    this.broken = [...old, ...now];
  }

  private startedRequests(also: number): AttemptRequest[] {
    const started = [...this.requests].filter(
      ([ref, entry]) => entry.started || ref === also,
    );
    return started.map(([, entry]) => entry.req);
  }

  private cancel(ref: number): void {
    const entry = this.requests.get(ref);
    if (entry === undefined) return;
    if (this.gate.cancelQueued(ref)) {
      this.requests.delete(ref);
      this.tell(entry, {type: 'refused', kind: 'fenced'});
      return;
    }
    // What must not be repeated runs to its end, so that its answer can be kept.
    if (entry.req.id === undefined) entry.exchange?.abort(CANCELLED);
  }

  private refuse(ref: number, kind: ErrorKind): void {
    const entry = this.requests.get(ref);
    if (entry === undefined) return;
    this.requests.delete(ref);
    this.tell(entry, {type: 'refused', kind});
  }

  private release(ref: number, outcome: Outcome): void {
    if (!this.requests.delete(ref)) return;
    this.execute(this.gate.finish(monotonicMs(), ref, outcome));
  }

  private tell(entry: Running, result: TellPart): void {
    const now = monotonicMs();
    const gateUs = Math.round((now - entry.arrivedAt) * MICROS_PER_MILLI);
    const report = this.gate.report(now);
    this.events.onEnd(entry.req, {...result, report, gateUs});
  }
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown
  ? Omit<T, K>
  : never;
type TellPart = DistributiveOmit<AttemptResult, 'report' | 'gateUs'>;

function canConnect(port: number): Promise<boolean> {
  return new Promise(done => {
    const socket = connect({port, host: '127.0.0.1'});
    const end = (accepts: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      done(accepts);
    };
    const timer = setTimeout(() => end(true), CHECK_TIMEOUT_MS);
    socket.on('connect', () => end(true));
    socket.on('error', () => end(false));
  });
}
