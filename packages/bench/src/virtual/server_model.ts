/** Model of one server for routing trials: slots, service times and their shifts. */
import type {VirtualClock} from '@goldcresthill/test-utils';

/** How a server behaves. */
export interface ServerModelOptions {
  readonly slots: number;
  readonly meanMs: number;
  readonly random: () => number;
}

/**
 * Runs requests in slots at a speed that can change at any moment; what runs
 * then goes on at the new speed.
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

  /** Changes the speed of everything that runs here. */
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

  /** Requests that run now. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Runs one request; its work is drawn from an exponential with a floor. */
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
  remainingWorkMs: number;
  updatedAt: number;
  scheduleCount: number;
  readonly done: () => void;
}
