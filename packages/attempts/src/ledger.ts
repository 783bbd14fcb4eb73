/** Ledger of a gate: the state of each attempt that must not be repeated. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {AttemptId, Millis} from '@goldcresthill/types';
import {attemptKey} from './attempt_key';

/** State of an attempt at its gate. */
export type LedgerState =
  'waiting' | 'running' | 'refused' | 'fenced' | 'done' | 'broken';

/** Options of a ledger. */
export interface LedgerOptions {
  /** Changes at each start of the gate, which begins with an empty ledger. */
  readonly incarnation: number;
  /** Time for which an entry is kept, milliseconds; must exceed the longest deadline. */
  readonly retentionMs?: number;
  /** Entries above which the oldest are evicted before their retention time. */
  readonly maxEntries?: number;
  /** Total size of the answers kept for gateways whose connection broke, bytes. */
  readonly maxKeptBytes?: number;
}

/** Whether the gate may accept an attempt that arrives. */
export type AdmissionDecision =
  | {readonly type: 'admit'}
  | {readonly type: 'refuse'; readonly kind: ErrorKind};

/** Outcome of an attempt, as reported to a gateway that asks the gate to resolve it. */
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
  // A running attempt becomes refused if the server reports that it shed the request.
  running: ['done', 'broken', 'refused'],
  refused: [],
  fenced: [],
  done: [],
  broken: [],
};

/**
 * Ledger that makes "not run" provable. An attempt that was reported as not run
 * can never start, as `refused` and `fenced` are final states. For evicted
 * entries the ledger keeps the highest evicted sequence number of each gateway
 * incarnation; attempts without an entry up to that number resolve to `unknown`
 * and are refused if they arrive.
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

  /** Registers an attempt that must not be repeated; each identity is admitted once. */
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
   * Checks an attempt that may be repeated, without registering it. Only refusals
   * of such attempts are kept: a refused attempt must not run when its request
   * arrives again.
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

  /** Records the refusal of an attempt that may be repeated. */
  recordRefusal(now: Millis, id: AttemptId, kind: ErrorKind): void {
    if (this.stateOf(id) !== undefined) return;
    this.add(now, id, 'refused').kind = kind;
  }

  /** Records that the attempt is sent to the server. */
  start(id: AttemptId): void {
    this.transition(id, 'running');
  }

  /** Records that the attempt will never reach the server, or that the server proved that it shed it. */
  refuse(id: AttemptId, kind: ErrorKind): void {
    this.transition(id, 'refused').kind = kind;
  }

  /** Records that the server answered in full. The answer is kept while there is room. */
  finish(id: AttemptId, answer: Answer | undefined, bytes: number): void {
    const entry = this.transition(id, 'done');
    if (answer === undefined || this.keptBytes + bytes > this.maxKeptBytes)
      return;
    entry.answer = answer;
    entry.bytes = bytes;
    this.keptBytes += bytes;
  }

  /** Records that the server's answer broke off, so that its run state is unknown. */
  markBroken(id: AttemptId, kind: ErrorKind): void {
    this.transition(id, 'broken').kind = kind;
  }

  /** Drops the answer of an attempt, as its gateway has received it in full. */
  acknowledge(id: AttemptId): void {
    const entry = this.entries.get(attemptKey(id));
    if (entry !== undefined) this.dropAnswer(entry);
  }

  /** Returns the outcome of an attempt. An attempt that never arrived is fenced: it is refused from now on. */
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

  /** Removes expired entries, except those that are waiting or running. */
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
