/** Drives the routing and gate decisions in virtual time and measures latency. */
import {Gate} from '@goldcresthill/gate';
import {Histogram} from '@goldcresthill/metrics';
import type {LatencySummary} from '@goldcresthill/metrics';
import {
  ALL_SCORING_FEATURES,
  ExpectedTimePolicy,
  createPolicy,
  ServiceRouter,
} from '@goldcresthill/routing';
import type {RoutingPolicy} from '@goldcresthill/routing';
import type {ScoringFeatures, PickedServer} from '@goldcresthill/routing';
import {seededRandom, VirtualClock} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {LoadReport, PolicyName, ServiceRules} from '@goldcresthill/types';
import type {CallCommand} from '@goldcresthill/attempts';
import {Disturber} from './disturber';
import {IdealPolicy} from './ideal_policy';
import type {Disturbance, Site} from './scenario';
import {capacityOf} from './scenario';
import {ServerModel} from './server_model';
import {TrialCall} from './trial_call';

/** What a trial starts from. */
export interface RoutingTrialOptions {
  readonly site: Site;
  readonly disturbance: Disturbance;
  /** Share of the site's capacity. */
  readonly load: number;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seconds?: number;
  readonly rules?: Partial<ServiceRules>;
  readonly mechanisms?: Partial<ScoringFeatures>;
  readonly adaptiveLimit?: boolean;
  /** Chooses by what no gateway can know: the true load and speed at this instant. */
  readonly ideal?: boolean;
  readonly deadlineAware?: boolean;
  readonly reroutesWaiting?: boolean;
  /** Age that reports have when they arrive, milliseconds. */
  readonly staleMs?: number;
}

/** What a trial found. */
export interface RoutingTrial {
  readonly latencyUs: LatencySummary;
  readonly answered: number;
  readonly failed: number;
  readonly probesPerCall: number;
  readonly attemptsPerCall: number;
}

const DEFAULT_SECONDS = 20;
const WARM_UP_MS = 2_000;
const LOCAL_ONE_WAY_MS = 0.1;
const REFUSED_SHARE = 0.05;
const ERROR_SERVER = 0;
const SETTLE_MS = 5_000;
const GATE_TICK_MS = 100;

interface TrialServer {
  readonly id: string;
  readonly domain: number;
  readonly model: ServerModel;
  gate: Gate;
  readonly waiting: Map<number, () => void>;
  readonly refused: Map<number, () => void>;
}

interface TrialGateway {
  readonly domain: number;
  readonly router: ServiceRouter;
}

/** Runs one trial; the same options give the same result. */
export function runRoutingTrial(options: RoutingTrialOptions): RoutingTrial {
  return new RoutingTrialRun(options).run();
}

class RoutingTrialRun {
  private readonly clock = new VirtualClock();
  private readonly random: () => number;
  // Arms of a comparison meet the same arrivals and the same disturbance.
  private readonly arrivalRandom: () => number;
  private readonly disturber: Disturber;
  private readonly rules: ServiceRules;
  private readonly servers: TrialServer[] = [];
  private readonly gateways: TrialGateway[] = [];
  private readonly histogram = new Histogram();
  private readonly endMs: number;
  private readonly olderReports = new Map<
    string,
    Array<{at: number; report: LoadReport}>
  >();
  private refs = 0;
  private answered = 0;
  private failed = 0;
  private calls = 0;
  private attempts = 0;

  constructor(private readonly options: RoutingTrialOptions) {
    this.random = seededRandom(options.seed);
    this.arrivalRandom = seededRandom(options.seed + 1_000_003);
    this.rules = {
      ...DEFAULT_SERVICE_RULES,
      policy: options.policy,
      warmUpMs: 0,
      silenceMs: 1_000,
      ...options.rules,
    };
    this.endMs = (options.seconds ?? DEFAULT_SECONDS) * 1_000 + WARM_UP_MS;
    for (let i = 0; i < options.site.servers; i++)
      this.servers.push(this.makeServer(i));
    for (let i = 0; i < options.site.gateways; i++)
      this.gateways.push(this.makeGateway(i));
    this.setServers();
    this.disturber = new Disturber({
      disturbance: options.disturbance,
      clock: this.clock,
      random: seededRandom(options.seed + 2_000_003),
      models: this.servers.map(server => server.model),
      fromMs: WARM_UP_MS,
      endMs: this.endMs,
      onRestart: () => (this.server(0).gate = this.makeGate()),
      onDrain: () => this.drain(this.server(0)),
    });
  }

  run(): RoutingTrial {
    this.disturber.start();
    this.tickGates();
    this.gateways.forEach(gateway => this.scheduleArrival(gateway));
    this.clock.runUntil(this.endMs + SETTLE_MS);
    const probes = this.gateways.reduce(
      (n, g) => n + g.router.probes.probesSent,
      0,
    );
    return {
      latencyUs: this.histogram.summary,
      answered: this.answered,
      failed: this.failed,
      probesPerCall: probes / Math.max(1, this.calls),
      attemptsPerCall: this.attempts / Math.max(1, this.calls),
    };
  }

  private makeServer(index: number): TrialServer {
    const {site} = this.options;
    const model = new ServerModel(this.clock, {
      slots: site.slots,
      meanMs: site.meanMs,
      random: this.random,
    });
    const id = `s${index}`;
    const waiting = new Map<number, () => void>();
    const refused = new Map<number, () => void>();
    return {
      id,
      domain: index % site.domains,
      model,
      gate: this.makeGate(),
      waiting,
      refused,
    };
  }

  private makeGate(): Gate {
    return new Gate(this.clock.now, {
      slots: this.options.site.slots,
      rules: this.rules,
      adaptiveLimit: this.options.adaptiveLimit,
      deadlineAware: this.options.deadlineAware,
      reroutesWaiting: this.options.reroutesWaiting,
    });
  }

  private makeGateway(index: number): TrialGateway {
    const router = new ServiceRouter(0, {
      gatewayNodeId: `g${index}`,
      rules: this.rules,
      random: this.random,
      policy: this.makePolicy(),
    });
    return {domain: index % this.options.site.domains, router};
  }

  private makePolicy(): RoutingPolicy {
    const {policy, mechanisms} = this.options;
    if (this.options.ideal) return new IdealPolicy(id => this.trueTimeMs(id));
    if (policy !== 'expectedTime') return createPolicy(policy);
    return new ExpectedTimePolicy({...ALL_SCORING_FEATURES, ...mechanisms});
  }

  private setServers(): void {
    for (const gateway of this.gateways) {
      gateway.router.setServers(
        this.servers.map(server => ({
          id: server.id,
          nodeId: server.id,
          domain: `d${server.domain}`,
          slots: this.options.site.slots,
          state: server.gate.state,
          networkUs: this.oneWayMs(gateway.domain, server.domain) * 2_000,
          instance: server.id,
        })),
      );
    }
  }

  private drain(server: TrialServer): void {
    this.execute(server, server.gate.drain());
    this.at(1_000, () => this.setServers());
  }

  private tickGates(): void {
    for (const server of this.servers) {
      this.execute(server, server.gate.advance(this.clock.now));
    }
    if (this.clock.now < this.endMs + SETTLE_MS) {
      this.at(GATE_TICK_MS, () => this.tickGates());
    }
  }

  private at(delayMs: number, run: () => void): void {
    this.clock.after(delayMs, run);
  }

  private server(index: number): TrialServer {
    const server = this.servers[index];
    if (server === undefined) throw new RangeError(`no server ${index}`);
    return server;
  }

  private scheduleArrival(gateway: TrialGateway): void {
    const {site, load} = this.options;
    const perMs =
      (capacityOf(site) * load * this.disturber.loadFactor) /
      site.gateways /
      1_000;
    const gap = -Math.log(1 - this.arrivalRandom()) / perMs;
    this.at(gap, () => {
      if (this.clock.now >= this.endMs) return;
      this.startCall(gateway);
      this.scheduleArrival(gateway);
    });
  }

  private startCall(gateway: TrialGateway): void {
    this.calls++;
    const {router} = gateway;
    const call = new TrialCall(
      this.clock.now,
      router,
      this.rules,
      () => this.clock.now,
    );
    call.onEnd = ok => this.endCall(call.startedAt, ok);
    call.onSend = command => this.sendAttempt(gateway, call, command);
    router.recordCall(this.clock.now);
    call.begin();
    const hedgeAfter = router.hedgeAfterMs;
    if (Number.isFinite(hedgeAfter)) {
      this.at(hedgeAfter, () => call.handle({type: 'hedgeDue'}));
    }
    this.at(this.rules.deadlineMs, () => call.handle({type: 'deadline'}));
    router
      .planProbes(this.clock.now)
      .forEach(view => this.probe(gateway, view.id));
  }

  private endCall(startedAt: number, ok: boolean): void {
    if (startedAt < WARM_UP_MS) return;
    if (ok) this.answered++;
    else this.failed++;
    // A failed call counts as one that took its whole deadline.
    const ms = ok ? this.clock.now - startedAt : this.rules.deadlineMs;
    this.histogram.recordUs(ms * 1_000);
  }

  private sendAttempt(
    gateway: TrialGateway,
    call: TrialCall,
    command: CallCommand & {type: 'send'},
  ): void {
    const {attempt} = command;
    const pick = gateway.router.pick(this.clock.now, command.exclude, {
      hedge: command.hedge,
    });
    if (pick === undefined) {
      call.handle({type: 'noServer', attempt});
      return;
    }
    this.attempts++;
    call.handle({type: 'sent', attempt, server: pick.id});
    const server = this.servers.find(s => s.id === pick.id);
    if (server === undefined) return;
    const sentAt = this.clock.now;
    const oneWay = this.jitter(this.oneWayMs(gateway.domain, server.domain));
    this.at(oneWay, () =>
      this.arrive(server, call, (outcome, atGateUs) => {
        const report = this.stale(
          server.id,
          server.gate.report(this.clock.now),
        );
        this.at(oneWay, () =>
          this.settle(
            gateway,
            call,
            attempt,
            pick,
            sentAt,
            report,
            outcome,
            atGateUs,
          ),
        );
      }),
    );
  }

  private settle(
    gateway: TrialGateway,
    call: TrialCall,
    attempt: number,
    pick: PickedServer,
    sentAt: number,
    report: LoadReport | undefined,
    outcome: 'answered' | 'refused' | 'serverError',
    atGateUs: number,
  ): void {
    gateway.router.recordResult(this.clock.now, {
      id: pick.id,
      elapsedMs: this.clock.now - sentAt,
      report,
      reportAgeMs: this.options.staleMs || undefined,
      gateUs: atGateUs,
      outcome,
    });
    if (outcome === 'refused') {
      call.handle({type: 'refused', attempt, kind: 'queueFull'});
    } else {
      const error = outcome === 'serverError';
      if (!error) call.succeeded = true;
      call.handle({type: 'answered', attempt, error});
    }
  }

  private arrive(
    server: TrialServer,
    call: TrialCall,
    reply: (
      outcome: 'answered' | 'refused' | 'serverError',
      atGateUs: number,
    ) => void,
  ): void {
    const arrivedAt = this.clock.now;
    const spent = (): number => (this.clock.now - arrivedAt) * 1_000;
    const {disturbance} = this.options;
    if (disturbance === 'refusals' && this.random() < REFUSED_SHARE) {
      reply('refused', 0);
      return;
    }
    if (
      disturbance === 'failFast' &&
      server === this.servers[ERROR_SERVER] &&
      this.clock.now > WARM_UP_MS
    ) {
      this.at(0.2, () => reply('serverError', spent()));
      return;
    }
    const ref = this.refs++;
    const {gate} = server;
    const start = (): void => {
      if (this.sheds(server)) {
        this.execute(server, gate.finish(this.clock.now, ref, 'shed'));
        reply('refused', spent());
        return;
      }
      server.model.run(() => {
        if (server.gate === gate)
          this.execute(server, gate.finish(this.clock.now, ref, 'ok'));
        reply('answered', spent());
      });
    };
    server.waiting.set(ref, start);
    server.refused.set(ref, () => reply('refused', spent()));
    const deadline = call.startedAt + this.rules.deadlineMs;
    const admission = gate.admit(this.clock.now, {
      ref,
      deadline,
      suspect: false,
      route: '',
      priority: 0,
      objective: deadline,
      returning: false,
    });
    if (admission.type === 'start') this.begin(server, ref);
    if (admission.type === 'refuse') this.refuse(server, ref);
  }

  // Every server claims twice the slots that it has.
  private sheds(server: TrialServer): boolean {
    const {disturbance, site} = this.options;
    return (
      disturbance === 'overclaim' && server.model.inFlight >= site.slots / 2
    );
  }

  private execute(
    server: TrialServer,
    commands: ReturnType<Gate['advance']>,
  ): void {
    for (const command of commands) {
      if (command.type === 'start') this.begin(server, command.ref);
      if (command.type === 'refuse') this.refuse(server, command.ref);
    }
  }

  private begin(server: TrialServer, ref: number): void {
    const start = server.waiting.get(ref);
    server.waiting.delete(ref);
    server.refused.delete(ref);
    start?.();
  }

  private refuse(server: TrialServer, ref: number): void {
    const refuse = server.refused.get(ref);
    server.waiting.delete(ref);
    server.refused.delete(ref);
    refuse?.();
  }

  private probe(gateway: TrialGateway, id: string): void {
    const server = this.servers.find(s => s.id === id);
    if (server === undefined) return;
    const oneWay = this.jitter(this.oneWayMs(gateway.domain, server.domain));
    this.at(oneWay, () => {
      const report = this.stale(server.id, server.gate.report(this.clock.now));
      this.at(oneWay, () => {
        if (report !== undefined)
          gateway.router.recordReport(
            this.clock.now,
            id,
            report,
            this.options.staleMs || undefined,
          );
      });
    });
  }

  private trueTimeMs(id: string): number {
    const server = this.servers.find(s => s.id === id);
    if (server === undefined) return Infinity;
    const {site} = this.options;
    const {inFlight, queued} = server.gate.report(this.clock.now);
    const turns = Math.max(1, (inFlight + queued + 1) / site.slots);
    return turns * site.meanMs * server.model.slowdown;
  }

  // Stale reports are what the server would have said that long ago.
  private stale(id: string, report: LoadReport): LoadReport | undefined {
    const {staleMs = 0} = this.options;
    if (staleMs === 0) return report;
    const key = id;
    const kept = this.olderReports.get(key) ?? [];
    kept.push({at: this.clock.now, report});
    const due = kept.filter(e => e.at <= this.clock.now - staleMs);
    this.olderReports.set(key, kept.slice(Math.max(0, due.length - 1)));
    return due.at(-1)?.report;
  }

  private oneWayMs(a: number, b: number): number {
    return a === b ? LOCAL_ONE_WAY_MS : this.options.site.betweenDomainsMs;
  }

  private jitter(ms: number): number {
    return ms * (0.8 + 0.4 * this.random());
  }
}
