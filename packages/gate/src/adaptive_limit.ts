/** Limit on concurrent requests that shrinks when the server slows down under them. */
import type {Millis} from '@goldcresthill/types';

/** Shortest stretch between two changes, milliseconds. */
const WINDOW_MS = 50;
/** Latency over the best seen that counts as congestion. */
const CONGESTED_RATIO = 2;
const SHRINK = 0.9;
/** The limit never falls below this share of the slots. */
const FLOOR_SHARE = 0.5;
/** How fast the best latency seen is forgotten, share per window. */
const FORGET = 0.002;
/** Share of the slots a cold server is given at first. */
const COLD_SHARE = 0.2;

/** What the limit starts from. */
export interface AdaptiveLimitOptions {
  readonly slots: number;
  readonly startedAt: Millis;
  readonly warmUpMs: number;
  /** Off: the limit is the slots, but for warm-up. */
  readonly adaptive?: boolean;
}

/** Additive increase and multiplicative decrease, below the slots, with a warm-up ramp. */
export class AdaptiveLimit {
  private readonly options: AdaptiveLimitOptions;
  private limit: number;
  private bestMs = Infinity;
  private changedAt: Millis;

  constructor(options: AdaptiveLimitOptions) {
    this.options = options;
    this.limit = options.slots;
    this.changedAt = options.startedAt;
  }

  /** Takes note of a finished request. A shed answer is congestion whatever its latency. */
  observe(now: Millis, tookMs: number, averageMs: number, shed: boolean): void {
    if (this.options.adaptive === false) return;
    if (!shed) this.bestMs = Math.min(this.bestMs, Math.max(tookMs, averageMs));
    if (now - this.changedAt < WINDOW_MS) return;
    this.changedAt = now;
    this.bestMs *= 1 + FORGET;
    const congested = shed || averageMs > CONGESTED_RATIO * this.bestMs;
    this.limit = congested ? this.limit * SHRINK : this.limit + 1;
    const floor = Math.max(1, this.options.slots * FLOOR_SHARE);
    this.limit = Math.min(this.options.slots, Math.max(floor, this.limit));
  }

  /** Requests that may run at once now; at least one, at most the slots. */
  current(now: Millis): number {
    const {slots, startedAt, warmUpMs} = this.options;
    const warm = warmUpMs > 0 ? (now - startedAt) / warmUpMs : 1;
    const share = Math.min(
      1,
      COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, warm),
    );
    return Math.max(1, Math.floor(Math.min(this.limit, slots * share)));
  }
}
