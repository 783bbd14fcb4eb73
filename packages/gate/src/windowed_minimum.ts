/** Minimum of recent values, in constant space. */
import type {Millis} from '@goldcresthill/types';

/** Minimum of the values added in the current span and the previous one, so over one to two spans. */
export class WindowedMinimum {
  private spanStartedAt: Millis | undefined;
  private current = Infinity;
  private previous = Infinity;

  constructor(private readonly spanMs: Millis) {}

  add(now: Millis, value: number): void {
    this.spanStartedAt ??= now;
    const elapsedMs = now - this.spanStartedAt;
    if (elapsedMs >= this.spanMs) {
      this.previous = elapsedMs < 2 * this.spanMs ? this.current : Infinity;
      this.current = Infinity;
      this.spanStartedAt = now;
    }
    this.current = Math.min(this.current, value);
  }

  /** Infinite until a value has been added. */
  get value(): number {
    return Math.min(this.current, this.previous);
  }
}
