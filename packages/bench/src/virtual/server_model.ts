/** Model of one server for routing trials: random service times and a slowdown that varies. */
import type {VirtualClock} from '@goldcresthill/test-utils';

/** Options of a server model. */
export interface ServerModelOptions {
  readonly slots: number;
  readonly meanMs: number;
  readonly random: () => number;
}

/**
 * Runs all requests that it is given; the gate bounds their number. The speed can
 * change at any time, and running requests then continue at the new speed.
 */
export class ServerModel {
  private currentSlowdown = 1;
  private readonly running = new Map<number, RunningRequest>();
  private nextRef = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly options: ServerModelOptions,
  ) {}

  get slowdown(): number {
    return this.currentSlowdown;
  }

  /** Sets the factor of the service times; running requests are rescheduled. */
  setSlowdown(slowdown: number): void {
    if (slowdown === this.currentSlowdown) return;
    const now = this.clock.now;
    for (const [ref, request] of this.running) {
      request.remainingWorkMs -=
        (now - request.updatedAt) / this.currentSlowdown;
      request.updatedAt = now;
      this.schedule(ref, request, slowdown);
    }
    this.currentSlowdown = slowdown;
  }

  /** Number of running requests. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Runs one request; its service time has a minimum of 0.3 of the mean and an exponentially distributed rest. */
  run(done: () => void): void {
    const {meanMs, random} = this.options;
    const work = meanMs * (0.3 - 0.7 * Math.log(1 - random()));
    const ref = this.nextRef++;
    const request = {
      remainingWorkMs: work,
      updatedAt: this.clock.now,
      scheduleCount: 0,
      done,
    };
    this.running.set(ref, request);
    this.schedule(ref, request, this.currentSlowdown);
  }

  private schedule(
    ref: number,
    request: RunningRequest,
    slowdown: number,
  ): void {
    const scheduleNumber = ++request.scheduleCount;
    this.clock.after(Math.max(0, request.remainingWorkMs) * slowdown, () => {
      if (request.scheduleCount !== scheduleNumber || !this.running.delete(ref))
        return;
      request.done();
    });
  }
}

interface RunningRequest {
  /** Remaining service time at normal speed, as of `updatedAt`. */
  remainingWorkMs: number;
  updatedAt: number;
  /** Number of the valid completion event; earlier events are ignored. */
  scheduleCount: number;
  readonly done: () => void;
}
