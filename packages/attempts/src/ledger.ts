/** Ledger of a gate: what became of each attempt that must not be repeated. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {AttemptId, Millis} from '@goldcresthill/types';
import {attemptKey} from './attempt_key';

/** Where an attempt stands at its gate. */
export type LedgerState =
  'waiting' | 'running' | 'refused' | 'fenced' | 'done' | 'broken';

/** Sizes of a ledger. */
export interface LedgerOptions {
  /** Changes whenever the gate starts anew, with nothing remembered. */
  readonly incarnation: number;
  /** Time for which an entry is kept, milliseconds; above the longest deadline. */
  readonly retentionMs?: number;
  readonly maxEntries?: number;
  /** Bytes of answers kept for callers whose connection broke. */
  readonly maxKeptBytes?: number;
}

/** Answer to an attempt that has just arrived. */
export type AdmissionDecision =
  | {readonly type: 'admit'}
  | {readonly type: 'refuse'; readonly kind: ErrorKind};

/** Answer to a gateway that asks what became of an attempt. */
export type Resolution<Answer> =
  | {readonly type: 'notRun'; readonly kind: ErrorKind}
  | {readonly type: 'running'}
  | {readonly type: 'done'; readonly answer: Answer | undefined}
  | {readonly type: 'unknown'; readonly kind: ErrorKind};

interface LedgerEntry<Answer> {
  readonly id: AttemptId;
  readonly addedAt: Millis;
  state: LedgerState;
  kind: ErrorKind | undefined;
  answer: Answer | undefined;
  bytes: number;
}

const DEFAULT_RETENTION_MS = 120_000;
const DEFAULT_MAX_ENTRIES = 50_000;
const DEFAULT_MAX_KEPT_BYTES = 16 * 1_024 * 1_024;

const TRANSITIONS: Record<LedgerState, readonly LedgerState[]> = {
  waiting: ['running', 'refused'],
  // A server that says it shed the request takes a running attempt back to refused.
  running: ['done', 'broken', 'refused'],
  refused: [],
  fenced: [],
  done: [],
  broken: [],
};

/**
 * Aggregate that makes "not run" provable. An attempt that was reported as not
 * run can never start, as `refused` and `fenced` have no way out. What was
 * evicted is covered by a mark per gateway, below which the ledger only ever
 * says `unknown`.
 */
export class AttemptLedger<Answer> {
  private readonly entries = new Map<string, LedgerEntry<Answer>>();
  private readonly highestEvictedSeqs = new Map<string, number>();
  private readonly retentionMs: number;
  private readonly maxEntries: number;
  private readonly maxKeptBytes: number;
  private keptBytes = 0;

  constructor(private readonly options: LedgerOptions) {
    this.retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
    this.maxEntries = options.maxEntries ?? DEFAULT_MAX_ENTRIES;
    this.maxKeptBytes = options.maxKeptBytes ?? DEFAULT_MAX_KEPT_BYTES;
  }

  /** Registers an attempt; each identity is admitted once. */
  register(
    now: Millis,
    id: AttemptId,
    gateIncarnation: number,
  ): AdmissionDecision {
    if (gateIncarnation !== this.options.incarnation) {
      return {type: 'refuse', kind: 'wrongIncarnation'};
    }
    const entry = this.entries.get(attemptKey(id));
    if (entry !== undefined) {
      const kind = entry.state === 'fenced' ? 'fenced' : 'duplicateRunning';
      return {type: 'refuse', kind};
    }
    if (this.mayBeEvicted(id))
      return {type: 'refuse', kind: 'attemptForgotten'};
    this.add(now, id, 'waiting');
    return {type: 'admit'};
  }

  /**
   * Screens an attempt that may be repeated. Only refusals of such attempts are
   * kept: what was refused must not run when its request arrives again.
   */
  checkRepeatable(id: AttemptId, gateIncarnation: number): AdmissionDecision {
    if (gateIncarnation !== this.options.incarnation) {
      return {type: 'refuse', kind: 'wrongIncarnation'};
    }
    const state = this.stateOf(id);
    if (state === 'refused') return {type: 'refuse', kind: 'fenced'};
    if (this.mayBeEvicted(id))
      return {type: 'refuse', kind: 'attemptForgotten'};
    return {type: 'admit'};
  }

  /** An attempt that may be repeated was refused. */
  recordRefusal(now: Millis, id: AttemptId, kind: ErrorKind): void {
    if (this.stateOf(id) !== undefined) return;
    this.add(now, id, 'refused').kind = kind;
  }

  /** The attempt goes to the server now. */
  start(id: AttemptId): void {
    this.transition(id, 'running');
  }

  /** The attempt will never reach the server, or the server proved that it shed it. */
  refuse(id: AttemptId, kind: ErrorKind): void {
    this.transition(id, 'refused').kind = kind;
  }

  /** The server answered in full. The answer is kept while there is room. */
  finish(id: AttemptId, answer: Answer | undefined, bytes: number): void {
    const entry = this.transition(id, 'done');
    if (answer === undefined || this.keptBytes + bytes > this.maxKeptBytes)
      return;
    entry.answer = answer;
    entry.bytes = bytes;
    this.keptBytes += bytes;
  }

  /** The server's answer broke off; whether it ran cannot be told. */
  markBroken(id: AttemptId, kind: ErrorKind): void {
    this.transition(id, 'broken').kind = kind;
  }

  /** The gateway has the whole answer, so it need not be kept. */
  acknowledge(id: AttemptId): void {
    const entry = this.entries.get(attemptKey(id));
    if (entry !== undefined) this.dropAnswer(entry);
  }

  /** Says what became of an attempt, and fences it if it was never seen. */
  resolve(
    now: Millis,
    id: AttemptId,
    gateIncarnation: number,
  ): Resolution<Answer> {
    if (gateIncarnation !== this.options.incarnation) {
      return {type: 'unknown', kind: 'gateRestarted'};
    }
    const entry = this.entries.get(attemptKey(id));
    if (entry !== undefined) return resolutionOf(entry);
    if (this.mayBeEvicted(id))
      return {type: 'unknown', kind: 'attemptForgotten'};
    this.add(now, id, 'fenced');
    return {type: 'notRun', kind: 'fenced'};
  }

  /** Forgets what is old. Entries that wait or run stay. */
  evict(now: Millis): void {
    for (const [key, entry] of this.entries) {
      const isExpired = now - entry.addedAt >= this.retentionMs;
      if (!isExpired && this.entries.size <= this.maxEntries) break;
      if (entry.state === 'waiting' || entry.state === 'running') continue;
      this.entries.delete(key);
      this.dropAnswer(entry);
      this.recordEviction(entry.id);
    }
  }

  stateOf(id: AttemptId): LedgerState | undefined {
    return this.entries.get(attemptKey(id))?.state;
  }

  get size(): number {
    return this.entries.size;
  }

  private add(
    now: Millis,
    id: AttemptId,
    state: LedgerState,
  ): LedgerEntry<Answer> {
    if (this.entries.size >= this.maxEntries) this.evict(now);
    const entry: LedgerEntry<Answer> = {
      id,
      addedAt: now,
      state,
      kind: undefined,
      answer: undefined,
      bytes: 0,
    };
    this.entries.set(attemptKey(id), entry);
    return entry;
  }

  private transition(id: AttemptId, to: LedgerState): LedgerEntry<Answer> {
    const entry = this.entries.get(attemptKey(id));
    invariant(
      entry !== undefined && TRANSITIONS[entry.state].includes(to),
      'ledger.notRun',
      () => `${attemptKey(id)} from ${entry?.state ?? 'nothing'} to ${to}`,
    );
    entry.state = to;
    return entry;
  }

  private dropAnswer(entry: LedgerEntry<Answer>): void {
    this.keptBytes -= entry.bytes;
    entry.bytes = 0;
    entry.answer = undefined;
  }

  private recordEviction(id: AttemptId): void {
    const gatewayKey = `${id.gateway}:${id.incarnation}`;
    const highestSeq = this.highestEvictedSeqs.get(gatewayKey) ?? -1;
    this.highestEvictedSeqs.set(gatewayKey, Math.max(highestSeq, id.seq));
  }

  private mayBeEvicted(id: AttemptId): boolean {
    const highestSeq = this.highestEvictedSeqs.get(
      `${id.gateway}:${id.incarnation}`,
    );
    return highestSeq !== undefined && id.seq <= highestSeq;
  }
}

function resolutionOf<Answer>(entry: LedgerEntry<Answer>): Resolution<Answer> {
  switch (entry.state) {
    case 'waiting':
    case 'running':
      return {type: 'running'};
    case 'refused':
    case 'fenced':
      return {type: 'notRun', kind: entry.kind ?? 'fenced'};
    case 'done':
      return {type: 'done', answer: entry.answer};
    case 'broken':
      return {type: 'unknown', kind: entry.kind ?? 'connectionLost'};
  }
}
