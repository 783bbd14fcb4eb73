/** Limits on what the input of other parties may use of this process: memory, connections and processor time. */
import {performance} from 'node:perf_hooks';
import {RetentionBudget} from '@goldcresthill/budgets';
import {runGuarded} from '@goldcresthill/errors';
import type {Millis} from '@goldcresthill/types';
import {ReadTurns} from './read_turns';

/** Account of one holder of received data. */
export interface Retention {
  /** Sets the memory that the data retains, bytes; returns false if that is too much. */
  resize(bytes: number): boolean;
  recordProgress(): void;
  /** Records that the data is complete, so that it is not evicted. */
  settle(): void;
  /** Gives the memory back; further calls have no effect. */
  close(): void;
}

/** Open connections that each port may have. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly data: number;
  /** Of each of the other ports. */
  readonly others: number;
}

/** Options of InputBudget. */
export interface InputBudgetOptions {
  /** Memory for received data, bytes. */
  readonly maxBytes: number;
  /** Memory for a single larger body beside that, bytes; none by default. */
  readonly reserveBytes?: number;
  /** Unlimited by default, apart from the limits of each port. */
  readonly connections?: ConnectionLimits;
  readonly onFault?: (err: unknown) => void;
  /** Returns the monotonic time. */
  readonly now?: () => Millis;
}

/** Memory of a machine and of what this process uses without any input. */
export interface MachineMemory {
  readonly bytes: number;
  /** Memory for received data that the settings allow, bytes. */
  readonly bufferedBytes: number;
}

/** Memory of a process with usual traffic and no input that waits, bytes. */
const PROCESS_BYTES = 100_663_296;
/** Memory that a body takes while its buffer grows, in relation to its size. */
const GROWTH_FACTOR = 1.5;
/** Memory of the machine for each connection that a process may have: its buffers, and its head twice, bytes. */
const MEMORY_PER_CONNECTION = 131_072;
/** Descriptors for files and for connections that this process opens itself. */
const OTHER_DESCRIPTORS = 200;
const CALLER_SHARE = 0.4;
const DATA_SHARE = 0.5;
const OTHERS_SHARE = 0.02;
/** Time without progress after which unfinished input gives way to other input, milliseconds. */
const STALE_MS = 1_000;

/** Accounts for received data of the whole process, and gives turns to senders that cost much time. */
export class InputBudget {
  readonly turns: ReadTurns;
  readonly connections: ConnectionLimits | undefined;
  private readonly budget: RetentionBudget;
  private readonly evictions = new Map<number, () => void>();
  private readonly now: () => Millis;
  private readonly onFault: (err: unknown) => void;

  constructor(options: InputBudgetOptions) {
    const {maxBytes, reserveBytes = 0, connections, onFault, now} = options;
    this.budget = new RetentionBudget({
      maxBytes,
      reserveBytes,
      staleMs: STALE_MS,
    });
    this.connections = connections;
    this.now = now ?? (() => performance.now());
    this.onFault = onFault ?? (() => undefined);
    this.turns = new ReadTurns({onFault: this.onFault, now: this.now});
  }

  /** Memory of the received data that is held, bytes. */
  get retainedBytes(): number {
    return this.budget.retainedBytes;
  }

  /** Opens the account of a holder; `evict` is called if it has to give way, after which the account is closed. */
  retain(evict: () => void): Retention {
    const {budget, evictions} = this;
    const ref = budget.open(this.now());
    evictions.set(ref, evict);
    return {
      resize: bytes => this.resize(ref, bytes),
      recordProgress: () => budget.recordProgress(ref, this.now()),
      settle: () => budget.settle(ref),
      // Sockets and answers call it as they close, where nothing else would catch an error.
      close: () =>
        runGuarded(this.onFault, () => {
          evictions.delete(ref);
          budget.close(ref);
        }),
    };
  }

  private resize(ref: number, bytes: number): boolean {
    const {isGranted, evicted} = this.budget.resize(ref, this.now(), bytes);
    for (const other of evicted) {
      const evict = this.evictions.get(other);
      this.evictions.delete(other);
      if (evict !== undefined) runGuarded(this.onFault, evict);
    }
    return isGranted;
  }
}

/** Memory for a single larger body: what the machine has left beside the process and the shared memory, bytes. */
export function reserveBytes({bytes, bufferedBytes}: MachineMemory): number {
  const left = bytes - PROCESS_BYTES - bufferedBytes;
  return Math.max(0, Math.floor(left / GROWTH_FACTOR));
}

/** Open connections that fit in the memory of a machine, bytes, and in the descriptors that a process may have. */
export function connectionLimits(
  memoryBytes: number,
  descriptors: number,
): ConnectionLimits {
  const total = Math.min(
    descriptors - OTHER_DESCRIPTORS,
    memoryBytes / MEMORY_PER_CONNECTION,
  );
  const share = (part: number): number => Math.max(1, Math.floor(total * part));
  return {
    callers: share(CALLER_SHARE),
    data: share(DATA_SHARE),
    others: share(OTHERS_SHARE),
  };
}
