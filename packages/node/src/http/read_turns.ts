/** Shares processor time among senders whose input costs far more than its bytes are worth. */
import {performance} from 'node:perf_hooks';
import type {Millis} from '@goldcresthill/types';

/** A sender whose input waits to be handled. */
export interface WaitingSender {
  /** Handles a small part of the input; returns whether more of it waits. */
  readonly handleSome: () => boolean;
}

/** Options of ReadTurns. */
export interface ReadTurnsOptions {
  /** Receives errors of senders; such a sender gets no more turns. */
  readonly onFault: (err: unknown) => void;
  /** Returns the monotonic time. */
  readonly now?: () => Millis;
  /** Calls a function after a time. */
  readonly schedule?: (ms: Millis, run: () => void) => void;
}

/** Longest time that one turn of the event loop spends on waiting senders, milliseconds. */
const MAX_TURN_MS = 5;
/** Share of the event loop's time for waiting senders; a request of 1 MiB in chunks of one byte takes 1.6 s of processor time. */
const TIME_SHARE = 0.25;
/** Time for which new connections are read in parts after a sign of costly senders, milliseconds. */
const ALERT_MS = 10_000;

/**
 * Queue of waiting senders, handled in rotation. Each turn is followed by a
 * pause in proportion to its length, in which the event loop serves others.
 */
export class ReadTurns {
  private readonly waiting: WaitingSender[] = [];
  private isScheduled = false;
  private alertedAt: Millis = -Infinity;
  private readonly alertListeners = new Set<() => void>();
  readonly now: () => Millis;
  private readonly schedule: (ms: Millis, run: () => void) => void;

  constructor(private readonly options: ReadTurnsOptions) {
    this.now = options.now ?? (() => performance.now());
    this.schedule =
      options.schedule ?? ((ms, run) => setTimeout(run, ms).unref());
  }

  /** Whether there are costly senders, or were a short time ago. */
  get isAlert(): boolean {
    return this.now() - this.alertedAt < ALERT_MS;
  }

  /** Whether senders wait. */
  get isWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /** Records a sender whose input costs far more than its bytes are worth. */
  raiseAlert(): void {
    const isNew = !this.isAlert;
    this.alertedAt = this.now();
    if (isNew) this.alertListeners.forEach(listener => listener());
  }

  /** Calls a function at the start of each alert; returns a function that ends that. */
  onAlert(listener: () => void): () => void {
    this.alertListeners.add(listener);
    return () => this.alertListeners.delete(listener);
  }

  /** Queues a sender that is not queued. */
  add(sender: WaitingSender): void {
    this.waiting.push(sender);
    this.scheduleTurn(0);
  }

  private scheduleTurn(ms: Millis): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.schedule(ms, () => this.runTurn());
  }

  private runTurn(): void {
    this.isScheduled = false;
    const startedAt = this.now();
    const endAt = startedAt + MAX_TURN_MS;
    // A sender that still waits gets its next part only after all others.
    for (let sender = this.waiting.shift(); sender;) {
      if (this.handle(sender)) this.waiting.push(sender);
      if (this.now() >= endAt) break;
      sender = this.waiting.shift();
    }
    if (this.waiting.length === 0) return;
    this.raiseAlert();
    const usedMs = this.now() - startedAt;
    this.scheduleTurn(usedMs * (1 / TIME_SHARE - 1));
  }

  private handle(sender: WaitingSender): boolean {
    try {
      return sender.handleSome();
    } catch (err) {
      this.options.onFault(err);
      return false;
    }
  }
}
