/** Limit on concurrent requests: the slots, less while the server is cold or sheds. */
import type {Millis} from '@goldcresthill/types';

/** Shortest stretch between two raises, milliseconds. */
const MIN_INCREASE_INTERVAL_MS = 50;
const DECREASE_FACTOR = 0.9;
/** Share of the slots a cold server is given at first. */
const COLD_START_FRACTION = 0.2;

/** What the limit starts from. */
export interface AdaptiveLimitOptions {
  readonly slots: number;
  readonly startedAt: Millis;
  readonly warmUpMs: number;
  /** Off: the limit is the slots, but for warm-up. */
  readonly adaptive?: boolean;
}

/** Shrinks when the server sheds, as its slots were then misreported, and grows back by ones. */
export class AdaptiveLimit {
  private limit: number;
  private changedAt: Millis;
  private warmUpMs: number;
  private slots: number;

  constructor(private readonly options: AdaptiveLimitOptions) {
    this.slots = options.slots;
    this.limit = options.slots;
    this.changedAt = options.startedAt;
    this.warmUpMs = options.warmUpMs;
  }

  /** Takes other bounds; the warm-up counts from the same start. */
  configure(slots: number, warmUpMs: number): void {
    if (slots !== this.slots) this.limit = slots;
    this.slots = slots;
    this.warmUpMs = warmUpMs;
  }

  /** Takes note of a finished request; `running` counts it. */
  observe(now: Millis, shed: boolean, running: number): void {
    if (this.options.adaptive === false) return;
    if (shed) {
      this.limit = Math.max(1, Math.min(this.limit, running) * DECREASE_FACTOR);
      this.changedAt = now;
      return;
    }
    if (now - this.changedAt < MIN_INCREASE_INTERVAL_MS) return;
    this.changedAt = now;
    this.limit = Math.min(this.slots, this.limit + 1);
  }

  /** Requests that may run at once now; at least one, at most the slots. */
  current(now: Millis): number {
    const {startedAt} = this.options;
    const {slots, warmUpMs} = this;
    const progress = warmUpMs > 0 ? (now - startedAt) / warmUpMs : 1;
    const fraction = Math.min(
      1,
      COLD_START_FRACTION + (1 - COLD_START_FRACTION) * Math.max(0, progress),
    );
    return Math.max(1, Math.floor(Math.min(this.limit, slots * fraction)));
  }
}
