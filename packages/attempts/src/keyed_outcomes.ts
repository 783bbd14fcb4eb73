/** Outcomes of calls with an idempotency key, at the gateway that owns their claims. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';
import type {OwnerAnswer} from './key_claim';

/** Options of the outcomes. */
export interface KeyedOutcomesOptions {
  /** Time for which the outcome of an ended call is kept, milliseconds. */
  readonly retentionMs?: number;
  /** Total size of the stored answers; above it, only the fact that a call ran is stored. */
  readonly maxKeptBytes?: number;
  /** Entries above which ended calls are evicted before their retention time. */
  readonly maxEntries?: number;
}

type OutcomeState = 'running' | 'notRun' | 'done' | 'unknown';

interface OutcomeEntry<Answer> {
  state: OutcomeState;
  endedAt: Millis;
  answer: Answer | undefined;
  bytes: number;
}

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_KEPT_BYTES = 16 * 1_024 * 1_024;
const DEFAULT_MAX_ENTRIES = 20_000;

/**
 * Outcomes by claim token. An unrecorded token resolves to `unknown`: it may
 * have been evicted, or belong to an earlier incarnation.
 */
export class KeyedOutcomes<Answer> {
  private readonly entries = new Map<string, OutcomeEntry<Answer>>();
  private keptBytes = 0;

  constructor(private readonly options: KeyedOutcomesOptions = {}) {}

  /** Records that a call with this token begins. Each token is used once. */
  begin(now: Millis, token: string): void {
    invariant(!this.entries.has(token), 'key.token', () => token);
    this.evict(now);
    this.entries.set(token, {
      state: 'running',
      endedAt: now,
      answer: undefined,
      bytes: 0,
    });
  }

  /** Records a call that ended without a stored answer. `notRun` requires proof that it did not run. */
  endWithoutAnswer(
    now: Millis,
    token: string,
    state: 'notRun' | 'unknown',
  ): void {
    const entry = this.runningEntry(token);
    entry.state = state;
    entry.endedAt = now;
  }

  /** Records a call that its server answered. The answer is stored while there is room. */
  endWithAnswer(
    now: Millis,
    token: string,
    answer: Answer,
    bytes: number,
  ): void {
    const entry = this.runningEntry(token);
    entry.state = 'done';
    entry.endedAt = now;
    const maxKeptBytes = this.options.maxKeptBytes ?? DEFAULT_MAX_KEPT_BYTES;
    if (this.keptBytes + bytes > maxKeptBytes) return;
    entry.answer = answer;
    entry.bytes = bytes;
    this.keptBytes += bytes;
  }

  /** Returns the state of a call and its stored answer, for another gateway. */
  lookUp(token: string): {answer: OwnerAnswer; kept: Answer | undefined} {
    const entry = this.entries.get(token);
    if (entry === undefined) return {answer: 'unknown', kept: undefined};
    if (entry.state !== 'done') return {answer: entry.state, kept: undefined};
    const answer = entry.answer === undefined ? 'ran' : 'done';
    return {answer, kept: entry.answer};
  }

  private runningEntry(token: string): OutcomeEntry<Answer> {
    const entry = this.entries.get(token);
    invariant(
      entry?.state === 'running',
      'key.outcome',
      () => `${token} has ended`,
    );
    return entry;
  }

  private evict(now: Millis): void {
    const retentionMs = this.options.retentionMs ?? DEFAULT_RETENTION_MS;
    const maxEntries = this.options.maxEntries ?? DEFAULT_MAX_ENTRIES;
    for (const [token, entry] of this.entries) {
      if (entry.state === 'running') continue;
      const isExpired = now - entry.endedAt >= retentionMs;
      if (!isExpired && this.entries.size < maxEntries) return;
      this.entries.delete(token);
      this.keptBytes -= entry.bytes;
    }
  }
}
