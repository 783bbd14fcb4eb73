/** Concurrency limit: the number of slots, reduced during warm-up and after the server sheds requests. */
import type {Millis} from '@goldcresthill/types';

/** Shortest time from a change of the limit to its next increase, milliseconds. */
const MIN_INCREASE_INTERVAL_MS = 50;
/** Factor on the limit when the server sheds a request. */
const DECREASE_FACTOR = 0.9;
/** Fraction of the slots that a server may use at the start of its warm-up. */
const COLD_START_FRACTION = 0.2;

/** Options of {@link AdaptiveLimit}. */
export interface AdaptiveLimitOptions {
  readonly slots: number;
  readonly startedAt: Millis;
  readonly warmUpMs: number;
  /** If false, only the warm-up reduces the limit. */
  readonly adaptive: boolean;
}

/** Decreases multiplicatively when the server sheds, as it then reported too many slots, and increases by one at a time. */
export class AdaptiveLimit {
  private limit: number;
  private changedAt: Millis;
  private warmUpMs: number;
  private slots: number;
  private adaptive: boolean;

  constructor(private readonly options: AdaptiveLimitOptions) {
    this.slots = options.slots;
    this.adaptive = options.adaptive;
    this.limit = options.slots;
    this.changedAt = options.startedAt;
    this.warmUpMs = options.warmUpMs;
  }

  /** Changes the options but for the start of the warm-up, from which it still counts. */
  configure({
    slots,
    warmUpMs,
    adaptive,
  }: Omit<AdaptiveLimitOptions, 'startedAt'>): void {
    this.adaptive = adaptive;
    if (slots !== this.slots) this.limit = slots;
    this.slots = slots;
    this.warmUpMs = warmUpMs;
  }

  /** Records a finished request; `running` includes it. */
  observe(now: Millis, shed: boolean, running: number): void {
    if (!this.adaptive) return;
    if (shed) {
      this.limit = Math.max(1, Math.min(this.limit, running) * DECREASE_FACTOR);
      this.changedAt = now;
      return;
    }
    if (now - this.changedAt < MIN_INCREASE_INTERVAL_MS) return;
    this.changedAt = now;
    this.limit = Math.min(this.slots, this.limit + 1);
  }

  /** Requests that may run concurrently now: at least one, at most the slots. */
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
