/** Requests at a server, and when their slots are expected to be free again. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';

/** A request at the server. */
export interface RunningRequest {
  readonly route: string;
  readonly startedAt: Millis;
  /** Slowdown of the server at the start; work keeps the speed that it starts with. */
  readonly slowdown: number;
  /** Expected end at the start. */
  readonly endsAt: Millis;
  readonly suspect: boolean;
}

/** A request beyond its expected end is expected to go on for this share of its age. */
const OVERDUE_EXTENSION = 0.25;
/** Requests that the mean age is weighed against, as that of a few says little. */
const MEAN_AGE_PRIOR_COUNT = 3;

/** Requests by their reference at the gate. */
export class RunningRequests {
  private readonly requests = new Map<number, RunningRequest>();

  add(ref: number, req: RunningRequest): void {
    this.requests.set(ref, req);
  }

  /** Takes out a request that has ended. */
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
   * When a request can start that has `before` others ahead of it, if `limit`
   * may run at once and those ahead take `turnMs` each.
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
    // Those beyond a limit that has shrunk leave no slot behind.
    const usableEnds = expectedEnds.slice(Math.max(0, this.size - limit));
    const slotFreeAt = [...Array<Millis>(freeSlots).fill(now), ...usableEnds];
    const rounds = Math.floor(ahead / slotFreeAt.length);
    return (slotFreeAt[ahead % slotFreeAt.length] ?? now) + rounds * serviceMs;
  }

  /** Mean age by usual speed, milliseconds. */
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
