/** Runs disturbances and configuration changes that overlap, and checks when the changes are in force. */
import {watchersOf} from '@goldcresthill/membership';
import {seededRandom} from '@goldcresthill/test-utils';
import {SidecarSimulation} from './sidecar_simulation';
import type {SidecarSimulationNode} from './sidecar_simulation';

/** Disturbances of a series. */
export const SERIES_FAULTS = [
  /** The store never answers some nodes, open watches included. */
  'storeSilent',
  /** The store turns some nodes away at once. */
  'storeRefusing',
  /** The store answers nobody. */
  'storeDown',
  'storeSlow',
  /** All connections to the store that are open go silent; new ones work. */
  'connectionsSilent',
  /** Watches report nothing, and then the history is gone and they are cut. */
  'historyDropped',
  /** No other node reaches some nodes. */
  'nodesCut',
  'messagesLost',
  'nodesFrozen',
  'nodesKilled',
  /** Some nodes are told to stop and start again later. */
  'nodesLeaving',
  /** The time of day of nodes that start is behind. */
  'clockBack',
] as const;
export type SeriesFaultType = (typeof SERIES_FAULTS)[number];

export interface SeriesFault {
  readonly type: SeriesFaultType;
  /** Begin after the start of the series, milliseconds. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Share of the nodes that it concerns, from 0 to 1. */
  readonly share: number;
  /** Whether it concerns the nodes that are chosen to watch the store first. */
  readonly watchersFirst: boolean;
}

/** Bounds of a deployment that concern its configuration, milliseconds. */
export interface SeriesBounds {
  /** Time within which a change is in force. */
  readonly configApplyMs: number;
  /** Time without disturbance after which the bounds hold again. */
  readonly contactMs: number;
  /** Longest time by which a disturbed store delays a change further. */
  readonly maxStretchMs: number;
}

/** Plan of a series; the same plan gives the same result. */
export interface SeriesPlan {
  readonly seed: number;
  readonly nodes: number;
  readonly domains: number;
  readonly bounds: SeriesBounds;
  /** Time by which stale reads lag behind, milliseconds. */
  readonly readLagMs: number;
  readonly faults: readonly SeriesFault[];
  /** Times of the changes after the start of the series, milliseconds. */
  readonly changesAtMs: readonly number[];
}

/** A node that had an older configuration in force than allowed. */
export interface LateConfig {
  readonly atMs: number;
  readonly nodeId: string;
  readonly held: number;
  readonly required: number;
}

const WATCHERS_PER_DOMAIN = 2;
const JOIN_MS = 12_000;
const STEP_MS = 10;
const RESTART_MS = 700;
const HISTORY_SILENCE_MS = 1_000;
const SLOW_CALL_MS = 200;
const LOSS = 0.05;
/** Time for which a leaving node serves callers. */
const LEAVING_MS = 2_750;
/** Boots by which a clock that was set back is behind. */
const CLOCK_BACK_BOOTS = 100_000;

interface TimedAction {
  readonly at: number;
  readonly run: () => void;
}

/** Runs a plan; resolves to the first node that lacked a change in time, or to undefined. */
export function runConfigSeries(
  plan: SeriesPlan,
): Promise<LateConfig | undefined> {
  return new ConfigSeries(plan).run();
}

class ConfigSeries {
  private readonly fleet: SidecarSimulation;
  private readonly random: () => number;
  private readonly actions: TimedAction[] = [];
  private readonly changes: Array<{version: number; at: number}> = [];
  /** Until then each node is or was disturbed, by its index. */
  private readonly disturbedUntil = new Map<number, number>();
  /** Until then the store is or was disturbed in a way that stretches the bounds. */
  private stretchedUntil = -Infinity;
  /** Until then the store does not answer, or late, and nothing is promised. */
  private unavailableUntil = -Infinity;
  private startedAt = 0;

  constructor(private readonly plan: SeriesPlan) {
    const {seed, nodes, domains, readLagMs, bounds} = plan;
    const {configApplyMs} = bounds;
    this.fleet = new SidecarSimulation({
      seed,
      nodes,
      domains,
      readLagMs,
      configApplyMs,
    });
    this.random = seededRandom(seed + 1);
  }

  async run(): Promise<LateConfig | undefined> {
    const {fleet, plan} = this;
    this.change();
    await fleet.run(plan.readLagMs);
    fleet.startAll();
    await fleet.run(plan.readLagMs + JOIN_MS);
    this.startedAt = fleet.clock.now;
    for (const fault of plan.faults)
      this.schedule(fault.atMs, () => this.begin(fault));
    for (const atMs of plan.changesAtMs)
      this.schedule(atMs, () => this.change());
    const {contactMs, configApplyMs, maxStretchMs} = plan.bounds;
    const lastMs = Math.max(
      0,
      ...plan.changesAtMs,
      ...plan.faults.map(fault => fault.atMs + fault.durationMs),
    );
    const endsAt = fleet.clock.now + lastMs + contactMs + configApplyMs;
    while (fleet.clock.now < endsAt + maxStretchMs) {
      this.runDueActions();
      await fleet.run(STEP_MS);
      const late = this.findLate();
      if (late !== undefined) return late;
    }
    return undefined;
  }

  private change(): void {
    const version = this.fleet.changeConfig();
    this.changes.push({version, at: this.fleet.clock.now});
  }

  private schedule(afterMs: number, run: () => void): void {
    const at = this.startedAt + afterMs;
    this.actions.push({at, run});
    this.actions.sort((a, b) => a.at - b.at);
  }

  private scheduleIn(delayMs: number, run: () => void): void {
    this.schedule(this.fleet.clock.now - this.startedAt + delayMs, run);
  }

  private runDueActions(): void {
    for (;;) {
      const next = this.actions[0];
      if (next === undefined || next.at > this.fleet.clock.now) return;
      this.actions.shift();
      next.run();
    }
  }

  private begin({type, durationMs, ...which}: SeriesFault): void {
    const {fleet} = this;
    const until = fleet.clock.now + durationMs;
    const some = this.pick(which);
    const all = fleet.liveNodes;
    switch (type) {
      case 'storeSilent':
        this.disturb(some, until);
        fleet.silenceStore(some);
        this.endLater(durationMs, fleet.nodesWithSilentStore, some);
        return;
      case 'storeRefusing':
        this.disturb(some, until);
        some.forEach(node => fleet.nodesWithoutStore.add(idOf(node)));
        this.endLater(durationMs, fleet.nodesWithoutStore, some);
        return;
      case 'storeDown':
        this.unavailableUntil = Math.max(this.unavailableUntil, until);
        fleet.silenceStore(all);
        this.endLater(durationMs, fleet.nodesWithSilentStore, all);
        return;
      case 'storeSlow':
        this.unavailableUntil = Math.max(this.unavailableUntil, until);
        fleet.storeDelayMs = SLOW_CALL_MS;
        this.scheduleIn(durationMs, () => (fleet.storeDelayMs = undefined));
        return;
      case 'connectionsSilent':
        this.disturb(all, fleet.clock.now);
        all.forEach(node => node.store.silenceWatches());
        return;
      case 'historyDropped':
        this.dropHistory();
        return;
      case 'nodesCut':
        some.forEach(node => fleet.isolatedNodes.add(idOf(node)));
        this.endLater(durationMs, fleet.isolatedNodes, some);
        return;
      case 'messagesLost':
        this.disturb(all, until);
        fleet.loss = LOSS;
        this.scheduleIn(durationMs, () => (fleet.loss = 0));
        return;
      case 'nodesFrozen':
        this.disturb(some, until);
        some.forEach(node => node.timers.pauseUntil(until));
        return;
      case 'nodesKilled':
        some.forEach(node => this.restart(node, RESTART_MS));
        return;
      case 'nodesLeaving':
        some.forEach(node => this.leave(node));
        return;
      case 'clockBack':
        fleet.clockBack = CLOCK_BACK_BOOTS;
        this.scheduleIn(durationMs, () => (fleet.clockBack = 0));
        return;
    }
  }

  private dropHistory(): void {
    const {fleet} = this;
    const until = fleet.clock.now + HISTORY_SILENCE_MS;
    this.stretchedUntil = Math.max(this.stretchedUntil, until);
    fleet.liveNodes.forEach(node => node.store.silenceWatches());
    this.scheduleIn(HISTORY_SILENCE_MS, () =>
      fleet.liveNodes.forEach(node => node.store.cutWatches()),
    );
  }

  private leave(node: SidecarSimulationNode): void {
    this.disturb([node], this.fleet.clock.now);
    node.control.leave();
    this.scheduleIn(LEAVING_MS, () => {
      if (node.alive) this.restart(node, RESTART_MS);
    });
  }

  private restart(node: SidecarSimulationNode, afterMs: number): void {
    const {fleet} = this;
    fleet.kill(node.index);
    this.disturb([node], fleet.clock.now + afterMs);
    this.scheduleIn(afterMs, () => fleet.boot(node.index));
  }

  private endLater(
    delayMs: number,
    ids: Set<string>,
    nodes: readonly SidecarSimulationNode[],
  ): void {
    this.scheduleIn(delayMs, () => {
      for (const node of nodes) {
        ids.delete(idOf(node));
        // Two disturbances of the same kind that overlap end with the first one, and the connections work again.
        this.disturb([node], this.fleet.clock.now);
      }
    });
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

  private pick({
    share,
    watchersFirst,
  }: Pick<SeriesFault, 'share' | 'watchersFirst'>): SidecarSimulationNode[] {
    const {liveNodes} = this.fleet;
    const addresses = liveNodes.map(node => node.address);
    const watchers = watchersOf(addresses, WATCHERS_PER_DOMAIN);
    const order = new Map(
      liveNodes.map(node => {
        const isFirst = watchersFirst && watchers.has(idOf(node));
        return [node, this.random() - (isFirst ? 1 : 0)];
      }),
    );
    return liveNodes
      .sort((a, b) => (order.get(a) ?? 0) - (order.get(b) ?? 0))
      .slice(0, Math.ceil(share * liveNodes.length));
  }

  private findLate(): LateConfig | undefined {
    const {contactMs, configApplyMs, maxStretchMs} = this.plan.bounds;
    const {now} = this.fleet.clock;
    if (now - this.unavailableUntil < contactMs) return undefined;
    const isStretched = now - this.stretchedUntil < contactMs;
    const boundMs = configApplyMs + (isStretched ? maxStretchMs : 0);
    const required = this.changes
      .filter(({at}) => at < now - boundMs)
      .at(-1)?.version;
    if (required === undefined) return undefined;
    for (const {index, address, control} of this.fleet.liveNodes) {
      const disturbedUntil = this.disturbedUntil.get(index) ?? -Infinity;
      if (now - disturbedUntil < contactMs) continue;
      const held = control.configVersion;
      if (held >= required) continue;
      const atMs = now - this.startedAt;
      return {atMs, nodeId: address.nodeId, held, required};
    }
    return undefined;
  }
}

function idOf({address}: SidecarSimulationNode): string {
  return address.nodeId;
}
