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
  private slowness = 1;
  private readonly running = new Map<number, Running>();
  private refs = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly options: ServerModelOptions,
  ) {}

  get slowdown(): number {
    return this.slowness;
  }

  /** Changes the speed of everything that runs here. */
  setSlowdown(slowdown: number): void {
    if (slowdown === this.slowness) return;
    const now = this.clock.now;
    for (const [ref, entry] of this.running) {
      entry.workLeft -= (now - entry.since) / this.slowness;
      entry.since = now;
      this.schedule(ref, entry, slowdown);
    }
    this.slowness = slowdown;
  }

  /** Requests that run now. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Runs one request; its work is drawn from an exponential with a floor. */
  run(done: () => void): void {
    const {meanMs, random} = this.options;
    const work = meanMs * (0.3 - 0.7 * Math.log(1 - random()));
    const ref = this.refs++;
    const entry = {workLeft: work, since: this.clock.now, turn: 0, done};
    this.running.set(ref, entry);
    this.schedule(ref, entry, this.slowness);
  }

  private schedule(ref: number, entry: Running, slowdown: number): void {
    const turn = ++entry.turn;
    this.clock.after(Math.max(0, entry.workLeft) * slowdown, () => {
      if (entry.turn !== turn || !this.running.delete(ref)) return;
      entry.done();
    });
  }
}

interface Running {
  workLeft: number;
  since: number;
  turn: number;
  readonly done: () => void;
}
