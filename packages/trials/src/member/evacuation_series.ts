/** Runs evacuations, cold servers, restarts and restores of the store that overlap, with requests, and checks which servers get them. */
import {Gate} from '@goldcresthill/gate';
import {watchersOf} from '@goldcresthill/membership';
import {seededRandom} from '@goldcresthill/test-utils';
import type {PlatformCopy} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import {SidecarSimulation} from './sidecar_simulation';
import type {SidecarSimulationNode} from './sidecar_simulation';

/** Events of a series. */
export const EVACUATION_EVENTS = [
  /** An operator writes the evacuation of a domain. */
  'evacuate',
  /** An operator removes it; the servers of the domain have just become cold. */
  'endWithColdServers',
  /** Servers of a domain become cold without an evacuation. */
  'cold',
  'restart',
  /** The store comes back from the copy of some seconds before. */
  'restore',
  /** The store never answers the nodes that are chosen to watch it, open watches included. */
  'silentToWatchers',
  /** The store refuses some nodes. */
  'refusing',
  'messagesLost',
  'frozen',
] as const;

export interface EvacuationEvent {
  readonly type: (typeof EVACUATION_EVENTS)[number];
  /** Time after the previous event, milliseconds. */
  readonly afterMs: number;
  /** Index of the domain that it concerns. */
  readonly domain: number;
  /** Share of the nodes that it concerns, from 0 to 1. */
  readonly share: number;
}

/** Plan of a series; the same plan gives the same result. */
export interface EvacuationPlan {
  readonly seed: number;
  readonly nodes: number;
  readonly domains: number;
  readonly events: readonly EvacuationEvent[];
  /** Whether nodes follow evacuations and gates limit cold servers, as they do by default. */
  readonly isOn?: boolean;
}

/** A rule that was violated. */
export interface EvacuationViolation {
  readonly rule: 'EVAC' | 'FAILBACK' | 'notEnded';
  readonly atMs: number;
  readonly what: string;
}

/** Bounds of the deployment. */
const EVACUATION_MS = 5_000;
const MAX_STRETCH_MS = 5_000;
const CONTACT_MS = 3_000;
const COLD_PER_S = 9.8;
const COLD_OVERSHOOT = 1.5;
const COLD_SLACK = 8;
const MAX_PER_COLD_SECOND = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK;
const COLD_MS = 4_000;
const CONFIG_APPLY_MS = 2_000;

const JOIN_MS = 8_000;
const STEP_MS = 50;
/** Requests that each node sends in a step. */
const REQUESTS_PER_STEP = 2;
const SERVICE_MS = 20;
const SLOTS = 60;
/** Longest time until a process that was killed starts again. */
const RESTART_MS = 700;
/** Longest time until a server reports to a new process of its node. */
const HEARTBEAT_MS = 1_500;
const DISTURBANCE_MS = 2_000;
/** Time for which the store is silent to its watchers. */
const SILENCE_MS = 12_000;
const LOSS = 0.05;
/** Age of the copy from which the store is restored. */
const COPY_AGE_MS = 9_000;
/** Interval at which an operator tries again to remove an object that the store does not have. */
const REMOVE_RETRY_MS = 500;
const WATCHERS_PER_DOMAIN = 2;
const WINDOW_MS = 1_000;
const MILLIS_PER_SECOND = 1_000;

const RULES = {
  ...DEFAULT_SERVICE_RULES,
  warmUpMs: 0,
  queuePerSlot: 0,
  coldRequestsPerSecond: COLD_PER_S,
  coldBurst: (COLD_PER_S * (COLD_OVERSHOOT - 1) + COLD_SLACK) * 0.8,
};

/** Server of a VM, which outlives the processes of its node. */
interface SimulatedServer {
  coldUntil: number;
  /** Gate of the node's process; undefined until the server has reported to it. */
  gate: Gate | undefined;
  /** Times at which requests reached the server in the last second. */
  readonly arrivals: number[];
  running: Array<{readonly ref: number; readonly endsAt: number}>;
}

/** An evacuation that an operator has written and not removed. */
interface ActiveEvacuation {
  readonly ackedAt: number;
  /** Processes of which at least one has to live until the store has the object again after a restore; undefined if the store has it. */
  witnesses: readonly SidecarSimulationNode[] | undefined;
}

/** Runs a plan; resolves to the first violation, or to undefined. */
export function runEvacuationSeries(
  plan: EvacuationPlan,
): Promise<EvacuationViolation | undefined> {
  return new EvacuationSeries(plan).run();
}

class EvacuationSeries {
  private readonly fleet: SidecarSimulation;
  private readonly random: () => number;
  private readonly servers: SimulatedServer[];
  private readonly active = new Map<string, ActiveEvacuation>();
  private readonly copies: Array<{at: number; copy: PlatformCopy}> = [];
  /** Until then each node is or was disturbed, by its index. */
  private readonly disturbedUntil = new Map<number, number>();
  /** Until then the store is or was unstable. */
  private unstableUntil = -Infinity;
  private nextRef = 0;
  private startedAt = 0;
  private violation: EvacuationViolation | undefined;

  constructor(private readonly plan: EvacuationPlan) {
    const {seed, nodes, domains, isOn = true} = plan;
    this.fleet = new SidecarSimulation({
      seed,
      nodes,
      domains,
      configApplyMs: CONFIG_APPLY_MS,
      evacuationMs: isOn ? EVACUATION_MS : undefined,
    });
    this.random = seededRandom(seed + 1);
    this.servers = Array.from({length: nodes}, () => ({
      coldUntil: -Infinity,
      gate: undefined,
      arrivals: [],
      running: [],
    }));
  }

  async run(): Promise<EvacuationViolation | undefined> {
    const {fleet, plan} = this;
    fleet.changeConfig();
    fleet.startAll();
    fleet.nodes.forEach(node => this.openGate(node, -Infinity));
    await fleet.run(JOIN_MS);
    this.startedAt = fleet.clock.now;
    for (const event of plan.events) {
      await this.runChecked(event.afterMs);
      this.begin(event);
    }
    await this.runChecked(EVACUATION_MS + MAX_STRETCH_MS);
    [...this.active.keys()].forEach(domain => this.end(domain));
    await this.runChecked(EVACUATION_MS + MAX_STRETCH_MS + CONTACT_MS);
    return this.violation ?? this.findNotEnded();
  }

  private async runChecked(durationMs: number): Promise<void> {
    const {fleet} = this;
    const endsAt = fleet.clock.now + durationMs;
    while (fleet.clock.now < endsAt && this.violation === undefined) {
      await fleet.run(STEP_MS);
      const now = fleet.clock.now;
      this.copies.push({at: now, copy: fleet.platform.copy()});
      if (this.copies.length > COPY_AGE_MS / STEP_MS) this.copies.shift();
      this.updateWitnesses();
      this.servers.forEach(server => this.advance(now, server));
      for (const node of fleet.liveNodes)
        for (let i = 0; i < REQUESTS_PER_STEP; i++) this.send(now, node);
    }
  }

  // The server's answers to the checks of its gate say for how long it stays cold.
  private advance(now: number, server: SimulatedServer): void {
    const {gate} = server;
    const ended = server.running.filter(({endsAt}) => endsAt <= now);
    server.running = server.running.filter(({endsAt}) => endsAt > now);
    if (gate === undefined) return;
    ended.forEach(({ref}) => gate.finish(now, ref, 'ok'));
    if (this.plan.isOn !== false) gate.setCold(now, server.coldUntil - now);
  }

  private send(now: number, from: SidecarSimulationNode): void {
    // A process that stands still sends nothing.
    if (this.isFrozen(from)) return;
    const evacuated = from.control.evacuatedDomains;
    if (evacuated === undefined) return;
    const targets = this.fleet.liveNodes.filter(
      ({address}) => !evacuated.includes(address.domain),
    );
    const to = targets[Math.floor(this.random() * targets.length)];
    const server = to && this.servers[to.index];
    if (to === undefined || server?.gate === undefined) return;
    const {domain} = to.address;
    // The gate of a domain refuses, as far as its own node knows.
    if (to.control.evacuatedDomains?.includes(domain) !== false) return;
    const ref = this.nextRef++;
    const admission = server.gate.admit(now, {
      ref,
      deadline: now + MILLIS_PER_SECOND,
      objective: now + MILLIS_PER_SECOND,
      suspect: false,
      route: '',
      priority: 0,
      returning: false,
    });
    if (admission.type !== 'start') return;
    server.running.push({ref, endsAt: now + SERVICE_MS});
    this.checkFailback(now, server, to);
    this.checkEvac(now, from, domain);
  }

  private checkFailback(
    now: number,
    server: SimulatedServer,
    {address}: SidecarSimulationNode,
  ): void {
    const {arrivals} = server;
    if (now >= server.coldUntil) {
      // Only requests to a cold server count.
      arrivals.length = 0;
      return;
    }
    arrivals.push(now);
    while ((arrivals[0] ?? now) < now - WINDOW_MS) arrivals.shift();
    if (arrivals.length <= MAX_PER_COLD_SECOND) return;
    const what = `${arrivals.length} in a second at ${address.nodeId}`;
    this.record('FAILBACK', what);
  }

  private checkEvac(
    now: number,
    {index, address}: SidecarSimulationNode,
    domain: string,
  ): void {
    const evacuation = this.active.get(domain);
    if (evacuation === undefined) return;
    const isStretched = now - this.unstableUntil < CONTACT_MS;
    const boundMs = EVACUATION_MS + (isStretched ? MAX_STRETCH_MS : 0);
    const disturbedUntil = this.disturbedUntil.get(index) ?? -Infinity;
    if (now - disturbedUntil < CONTACT_MS) return;
    const lateMs = now - evacuation.ackedAt - boundMs;
    if (lateMs <= 0) return;
    this.record('EVAC', `${address.nodeId} to ${domain}, ${lateMs} ms late`);
  }

  private findNotEnded(): EvacuationViolation | undefined {
    const isAnywhere = (domain: string): boolean =>
      this.fleet.liveNodes.some(
        ({control}) => control.evacuatedDomains?.includes(domain) !== false,
      );
    for (let i = 0; i < this.plan.domains; i++) {
      const domain = `d${i}`;
      // A restore may bring back an object that had been removed.
      if (this.fleet.isEvacuationStored(domain) || !isAnywhere(domain))
        continue;
      this.record('notEnded', domain);
    }
    return this.violation;
  }

  private begin({type, domain, share}: EvacuationEvent): void {
    const {fleet} = this;
    const now = fleet.clock.now;
    const name = `d${domain % this.plan.domains}`;
    const some = this.pick(share);
    const until = now + DISTURBANCE_MS;
    switch (type) {
      case 'evacuate':
        if (fleet.isEvacuationStored(name)) return;
        fleet.evacuate(name);
        this.active.set(name, {ackedAt: now, witnesses: undefined});
        return;
      case 'endWithColdServers':
        this.makeCold(name);
        this.end(name);
        return;
      case 'cold':
        this.makeCold(name);
        return;
      case 'restart':
        some.forEach(node => this.restart(node));
        return;
      case 'restore':
        this.restore();
        return;
      case 'silentToWatchers':
        fleet.silenceStore(this.watchers());
        this.disturbStore(
          this.watchers(),
          fleet.nodesWithSilentStore,
          SILENCE_MS,
        );
        return;
      case 'refusing':
        this.disturbStore(some, fleet.nodesWithoutStore, DISTURBANCE_MS);
        return;
      case 'messagesLost':
        this.disturb(fleet.liveNodes, until);
        fleet.loss = LOSS;
        fleet.clock.after(DISTURBANCE_MS, () => (fleet.loss = 0));
        return;
      case 'frozen':
        this.disturb(some, until);
        some.forEach(node => node.timers.pauseUntil(until));
        return;
    }
  }

  private makeCold(domain: string): void {
    const until = this.fleet.clock.now + COLD_MS;
    for (const {index, address} of this.fleet.nodes) {
      const server = this.servers[index];
      if (server === undefined || address.domain !== domain) continue;
      server.coldUntil = Math.max(server.coldUntil, until);
    }
  }

  private end(domain: string): void {
    const {fleet} = this;
    if (!this.active.has(domain)) return;
    if (fleet.isEvacuationStored(domain)) {
      fleet.endEvacuation(domain);
      this.active.delete(domain);
      return;
    }
    fleet.clock.after(REMOVE_RETRY_MS, () => this.end(domain));
  }

  private restore(): void {
    const {fleet} = this;
    const oldest = this.copies[0];
    if (oldest === undefined) return;
    fleet.platform.restore(oldest.copy);
    this.copies.length = 0;
    fleet.rewriteConfig();
    for (const [domain, evacuation] of this.active) {
      const {ackedAt, witnesses} = evacuation;
      const known = fleet.liveNodes.filter(
        ({control}) => control.evacuatedDomains?.includes(domain) === true,
      );
      if (!fleet.isEvacuationStored(domain))
        this.active.set(domain, {ackedAt, witnesses: witnesses ?? known});
    }
  }

  // What the store has lost and no process remembers is lost.
  private updateWitnesses(): void {
    for (const [domain, evacuation] of this.active) {
      const {ackedAt, witnesses} = evacuation;
      if (witnesses === undefined) continue;
      if (this.fleet.isEvacuationStored(domain))
        this.active.set(domain, {ackedAt, witnesses: undefined});
      else if (!witnesses.some(({alive}) => alive)) this.active.delete(domain);
    }
  }

  private restart(node: SidecarSimulationNode): void {
    const {fleet} = this;
    const {index} = node;
    const server = this.servers[index];
    if (!node.alive || server === undefined) return;
    fleet.kill(index);
    server.gate = undefined;
    const restartMs = this.random() * RESTART_MS;
    this.disturb([node], fleet.clock.now + restartMs);
    fleet.clock.after(restartMs, () => {
      fleet.boot(index);
      const bootedAt = fleet.clock.now;
      const next = fleet.node(index);
      fleet.clock.after(this.random() * HEARTBEAT_MS, () =>
        this.openGate(next, bootedAt),
      );
    });
  }

  private openGate(node: SidecarSimulationNode, usedAt: number): void {
    const server = this.servers[node.index];
    if (server === undefined || !node.alive) return;
    const {now} = this.fleet.clock;
    const gate = new Gate(now, {slots: SLOTS, rules: RULES, usedAt});
    if (this.plan.isOn !== false) gate.setCold(now, server.coldUntil - now);
    server.gate = gate;
    server.running = [];
  }

  private disturbStore(
    nodes: readonly SidecarSimulationNode[],
    ids: Set<string>,
    durationMs: number,
  ): void {
    const until = this.fleet.clock.now + durationMs;
    this.unstableUntil = Math.max(this.unstableUntil, until);
    this.disturb(nodes, until);
    nodes.forEach(({address}) => ids.add(address.nodeId));
    this.fleet.clock.after(durationMs, () =>
      nodes.forEach(({address}) => ids.delete(address.nodeId)),
    );
  }

  private disturb(
    nodes: readonly SidecarSimulationNode[],
    until: number,
  ): void {
    for (const {index} of nodes) {
      const known = this.disturbedUntil.get(index) ?? -Infinity;
      this.disturbedUntil.set(index, Math.max(known, until));
    }
  }

  private isFrozen({timers}: SidecarSimulationNode): boolean {
    return timers.isPaused;
  }

  private watchers(): SidecarSimulationNode[] {
    const {liveNodes} = this.fleet;
    const addresses = liveNodes.map(({address}) => address);
    const chosen = watchersOf(addresses, WATCHERS_PER_DOMAIN);
    return liveNodes.filter(({address}) => chosen.has(address.nodeId));
  }

  private pick(share: number): SidecarSimulationNode[] {
    return this.fleet.liveNodes.filter(() => this.random() < share);
  }

  private record(rule: EvacuationViolation['rule'], what: string): void {
    const atMs = Math.round(this.fleet.clock.now - this.startedAt);
    this.violation ??= {rule, atMs, what};
  }
}
