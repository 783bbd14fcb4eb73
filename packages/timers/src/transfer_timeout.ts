/** Timeout of a transfer that may take long as long as bytes arrive. */
import type {Millis} from '@goldcresthill/types';
import {runAfter} from './real_timers';
import type {Cancel} from './timers';

/** Options of TransferTimeout. */
export interface TransferTimeoutOptions {
  /** Longest time until the first bytes arrive, milliseconds. */
  readonly firstMs: Millis;
  /** Longest time between bytes after that, milliseconds. */
  readonly idleMs: Millis;
  readonly onTimeout: () => void;
}

/** Longest transfer after its first bytes, milliseconds. */
const MAX_TRANSFER_MS = 5_000;

/** Calls `onTimeout` once, when the transfer has stalled or takes too long. */
export class TransferTimeout {
  private cancelStall: Cancel;
  private cancelTotal: Cancel | undefined;

  constructor(private readonly options: TransferTimeoutOptions) {
    this.cancelStall = runAfter(options.firstMs, () => this.expire());
  }

  /** Records that bytes have arrived. */
  recordProgress(): void {
    this.cancelStall();
    this.cancelStall = runAfter(this.options.idleMs, () => this.expire());
    this.cancelTotal ??= runAfter(MAX_TRANSFER_MS, () => this.expire());
  }

  /** Ends the timeout when the transfer has ended. */
  close(): void {
    this.cancelStall();
    this.cancelTotal?.();
  }

  private expire(): void {
    this.close();
    this.options.onTimeout();
  }
}
