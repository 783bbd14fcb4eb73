/** Brings about the disturbance of a routing trial. */
import type {VirtualClock} from '@goldcresthill/test-utils';
import type {Disturbance} from './scenario';
import type {ServerModel} from './server_model';

/** What a disturber works on. */
export interface DisturberOptions {
  readonly disturbance: Disturbance;
  readonly clock: VirtualClock;
  readonly random: () => number;
  readonly models: readonly ServerModel[];
  /** When the measured part begins and ends, milliseconds. */
  readonly fromMs: number;
  readonly endMs: number;
  /** The first server starts anew. */
  readonly onRestart: () => void;
  /** The first server leaves. */
  readonly onDrain: () => void;
}

const SHIFT_EVERY_MS = 40;
const SHIFTED_SHARE = 0.2;
const SHIFT_SLOWDOWN = 6;
const STRAGGLER_SLOWDOWN = 10;
const BURST_FACTOR = 3;
const BURST_EVERY_MS = 2_000;
const BURST_MS = 200;
const COLD_SLOWDOWN = 5;
const COLD_MS = 1_500;

/** Changes speeds and load as a scenario says. */
export class Disturber {
  /** Load in units of the usual. */
  loadFactor = 1;

  constructor(private readonly options: DisturberOptions) {}

  start(): void {
    const {disturbance, clock, fromMs, endMs} = this.options;
    if (disturbance === 'shifting') this.shift();
    if (disturbance === 'burst') this.scheduleBurst();
    if (disturbance === 'coldStart') this.scheduleColdStart();
    if (disturbance === 'straggler') {
      clock.after(fromMs, () => this.first.setSlowdown(STRAGGLER_SLOWDOWN));
    }
    if (disturbance === 'drain') {
      clock.after((fromMs + endMs) / 2, this.options.onDrain);
    }
  }

  private get first(): ServerModel {
    const [model] = this.options.models;
    if (model === undefined) throw new RangeError('no server');
    return model;
  }

  private get isOver(): boolean {
    return this.options.clock.now >= this.options.endMs;
  }

  // A noisy neighbour comes to a fifth of the machines, others every 40 ms.
  private shift(): void {
    const {models, random, clock} = this.options;
    for (const model of models) {
      model.setSlowdown(random() < SHIFTED_SHARE ? SHIFT_SLOWDOWN : 1);
    }
    if (this.isOver) return;
    clock.after(SHIFT_EVERY_MS * (0.5 + random()), () => this.shift());
  }

  private scheduleBurst(): void {
    const {clock} = this.options;
    clock.after(BURST_EVERY_MS, () => {
      this.loadFactor = BURST_FACTOR;
      clock.after(BURST_MS, () => (this.loadFactor = 1));
      if (!this.isOver) this.scheduleBurst();
    });
  }

  private scheduleColdStart(): void {
    const {clock, fromMs, onRestart} = this.options;
    clock.after(fromMs * 2, () => {
      this.first.setSlowdown(COLD_SLOWDOWN);
      onRestart();
      clock.after(COLD_MS, () => this.first.setSlowdown(1));
      if (!this.isOver) this.scheduleColdStart();
    });
  }
}
