/** Injects the disturbance of a routing trial. */
import type {VirtualClock} from '@goldcresthill/test-utils';
import type {Disturbance} from './scenario';
import type {ServerModel} from './server_model';

/** Options of a disturbance injector. */
export interface DisturbanceInjectorOptions {
  readonly disturbance: Disturbance;
  readonly clock: VirtualClock;
  readonly random: () => number;
  readonly models: readonly ServerModel[];
  /** Start and end of the measured part, milliseconds of virtual time. */
  readonly measureFromMs: number;
  readonly endMs: number;
  /** Called when the first server is to restart. */
  readonly onRestart: () => void;
  /** Called when the first server is to drain. */
  readonly onDrain: () => void;
}

const SHIFT_INTERVAL_MS = 40;
const SLOWED_FRACTION = 0.2;
const SHIFT_SLOWDOWN = 6;
const STRAGGLER_SLOWDOWN = 10;
const BURST_FACTOR = 3;
const BURST_INTERVAL_MS = 2_000;
const BURST_MS = 200;
const COLD_START_SLOWDOWN = 5;
const COLD_START_MS = 1_500;

/** Changes the slowdown of servers and the load as the disturbance requires. */
export class DisturbanceInjector {
  /** Factor of the offered load. */
  loadFactor = 1;

  constructor(private readonly options: DisturbanceInjectorOptions) {}

  start(): void {
    const {disturbance, clock, measureFromMs, endMs} = this.options;
    if (disturbance === 'shifting') this.shiftSlowdowns();
    if (disturbance === 'burst') this.scheduleBurst();
    if (disturbance === 'coldStart') this.scheduleColdStart();
    if (disturbance === 'straggler') {
      clock.after(measureFromMs, () =>
        this.firstModel.setSlowdown(STRAGGLER_SLOWDOWN),
      );
    }
    if (disturbance === 'drain') {
      clock.after((measureFromMs + endMs) / 2, this.options.onDrain);
    }
  }

  private get firstModel(): ServerModel {
    const [model] = this.options.models;
    if (model === undefined) throw new RangeError('the trial has no server');
    return model;
  }

  private get isOver(): boolean {
    return this.options.clock.now >= this.options.endMs;
  }

  // Noisy neighbours slow down a fifth of the servers, other ones about every 40 ms.
  private shiftSlowdowns(): void {
    const {models, random, clock} = this.options;
    for (const model of models) {
      model.setSlowdown(random() < SLOWED_FRACTION ? SHIFT_SLOWDOWN : 1);
    }
    if (this.isOver) return;
    clock.after(SHIFT_INTERVAL_MS * (0.5 + random()), () =>
      this.shiftSlowdowns(),
    );
  }

  private scheduleBurst(): void {
    const {clock} = this.options;
    clock.after(BURST_INTERVAL_MS, () => {
      this.loadFactor = BURST_FACTOR;
      clock.after(BURST_MS, () => (this.loadFactor = 1));
      if (!this.isOver) this.scheduleBurst();
    });
  }

  private scheduleColdStart(): void {
    const {clock, measureFromMs, onRestart} = this.options;
    clock.after(measureFromMs * 2, () => {
      this.firstModel.setSlowdown(COLD_START_SLOWDOWN);
      onRestart();
      clock.after(COLD_START_MS, () => this.firstModel.setSlowdown(1));
      if (!this.isOver) this.scheduleColdStart();
    });
  }
}
