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
const OVERDUE_SHARE = 0.25;
/** Requests that the mean age is weighed against, as that of a few says little. */
const PRIOR_REQUESTS = 3;

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
  startAfter(
    now: Millis,
    {before, limit, turnMs}: {before: number; limit: number; turnMs: Millis},
  ): Millis {
    const free = Math.max(0, limit - this.size);
    if (before < free) return now;
    const ends = [...this.requests.values()]
      .map(req => expectedEnd(now, req))
      .sort((a, b) => a - b);
    // Those beyond a limit that has shrunk leave no slot behind.
    const freed = ends.slice(Math.max(0, this.size - limit));
    const slots = [...Array<Millis>(free).fill(now), ...freed];
    const rounds = Math.floor(before / slots.length);
    return (slots[before % slots.length] ?? now) + rounds * turnMs;
  }

  /** Mean age by usual speed, milliseconds. */
  meanAge(now: Millis): Millis {
    let sum = 0;
    for (const req of this.requests.values()) {
      sum += Math.max(0, now - req.startedAt) / req.slowdown;
    }
    return sum / (this.size + PRIOR_REQUESTS);
  }
}

function expectedEnd(now: Millis, req: RunningRequest): Millis {
  if (req.endsAt > now) return req.endsAt;
  return now + OVERDUE_SHARE * (now - req.startedAt);
}
