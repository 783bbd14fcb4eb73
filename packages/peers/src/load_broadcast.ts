/** Decides when a node tells the others of its load. */
import type {LoadReport, Millis} from '@goldcresthill/types';

/** Bounds on how often load is told. */
export interface LoadBroadcastOptions {
  /** Shortest time between two datagrams to the same node, milliseconds. */
  readonly minGapMs?: Millis;
  /** Longest time without a datagram, milliseconds. */
  readonly maxGapMs?: Millis;
  /** Datagrams that one node sends per second, over all receivers. */
  readonly datagramsPerSecond?: number;
}

/** A change of speed below this share changes no choice of a server. */
const SLOWDOWN_STEP = 0.15;
/** A change of occupancy below this share of the limit changes no choice of a server. */
const OCCUPANCY_STEP = 0.15;
const DEFAULT_MIN_GAP_MS = 20;
const DEFAULT_MAX_GAP_MS = 400;
const DEFAULT_DATAGRAMS_PER_SECOND = 400;
const MILLIS_PER_SECOND = 1_000;

/** Tells of load when it has changed enough, within a bound on datagrams. */
export class LoadBroadcast {
  private toldAt: Millis = -Infinity;
  private told: LoadReport | undefined;

  constructor(private readonly options: LoadBroadcastOptions = {}) {}

  /** Whether the load is to be told now to that many receivers; if so it counts as told. */
  isDue(
    now: Millis,
    report: LoadReport | undefined,
    receivers: number,
  ): boolean {
    const age = now - this.toldAt;
    if (age < this.gapMs(receivers)) return false;
    const maxGapMs = this.options.maxGapMs ?? DEFAULT_MAX_GAP_MS;
    if (age < maxGapMs && !this.hasChanged(report)) return false;
    this.toldAt = now;
    this.told = report;
    return true;
  }

  private gapMs(receivers: number): Millis {
    const perSecond =
      this.options.datagramsPerSecond ?? DEFAULT_DATAGRAMS_PER_SECOND;
    const fairGapMs = (receivers * MILLIS_PER_SECOND) / perSecond;
    return Math.max(this.options.minGapMs ?? DEFAULT_MIN_GAP_MS, fairGapMs);
  }

  private hasChanged(report: LoadReport | undefined): boolean {
    const {told} = this;
    if (report === undefined || told === undefined) return report !== told;
    if (report.state !== told.state) return true;
    const slowdown = Math.abs(report.slowdown - told.slowdown);
    if (slowdown > SLOWDOWN_STEP * told.slowdown) return true;
    const occupancy = Math.abs(load(report) - load(told));
    return occupancy >= Math.max(1, OCCUPANCY_STEP * report.limit);
  }
}

function load(report: LoadReport): number {
  return report.inFlight + report.queued;
}
