/** Requests running at a server, and when their slots are expected to become free. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';

/** A request running at the server. */
export interface RunningRequest {
  readonly route: string;
  readonly startedAt: Millis;
  /** Slowdown of the server when the request started; a request keeps the speed that it starts with. */
  readonly slowdown: number;
  /** End expected when the request started. */
  readonly endsAt: Millis;
  readonly suspect: boolean;
}

/** A request past its expected end is expected to run on for this fraction of its age. */
const OVERDUE_EXTENSION = 0.25;
/** Added to the number of requests in their mean age, as the mean of a few is unreliable. */
const MEAN_AGE_PRIOR_COUNT = 3;

/** Running requests by their reference at the gate. */
export class RunningRequests {
  private readonly requests = new Map<number, RunningRequest>();

  add(ref: number, req: RunningRequest): void {
    this.requests.set(ref, req);
  }

  /** Removes and returns a request that has ended. */
  remove(ref: number): RunningRequest {
    const req = this.requests.get(ref);
    invariant(req !== undefined, 'gate.finish', () => `${ref} is not running`);
    this.requests.delete(ref);
    return req;
  }

  get size(): number {
    return this.requests.size;
  }

  /**
   * When a request is expected to start that has `ahead` others before it, if
   * `limit` requests may run concurrently and those before it take `serviceMs`
   * each.
   */
  expectedStart(
    now: Millis,
    {
      ahead,
      limit,
      serviceMs,
    }: {ahead: number; limit: number; serviceMs: Millis},
  ): Millis {
    const freeSlots = Math.max(0, limit - this.size);
    if (ahead < freeSlots) return now;
    const expectedEnds = [...this.requests.values()]
      .map(req => expectedEnd(now, req))
      .sort((a, b) => a - b);
    // Requests beyond a limit that has decreased free no slot when they end.
    const usableEnds = expectedEnds.slice(Math.max(0, this.size - limit));
    const slotFreeAt = [...Array<Millis>(freeSlots).fill(now), ...usableEnds];
    const rounds = Math.floor(ahead / slotFreeAt.length);
    return (slotFreeAt[ahead % slotFreeAt.length] ?? now) + rounds * serviceMs;
  }

  /** Mean age scaled to usual speed, milliseconds. */
  meanAgeAtUsualSpeedMs(now: Millis): Millis {
    let sum = 0;
    for (const req of this.requests.values()) {
      sum += Math.max(0, now - req.startedAt) / req.slowdown;
    }
    return sum / (this.size + MEAN_AGE_PRIOR_COUNT);
  }
}

function expectedEnd(now: Millis, req: RunningRequest): Millis {
  if (req.endsAt > now) return req.endsAt;
  return now + OVERDUE_EXTENSION * (now - req.startedAt);
}
