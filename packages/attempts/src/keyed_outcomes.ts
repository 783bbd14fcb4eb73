/** What became of calls with an idempotency key, at the gateway that held the claim. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';
import type {OwnerAnswer} from './key_claim';

/** Sizes. */
export interface KeyedOutcomesOptions {
  readonly retentionMs?: number;
  readonly maxKeptBytes?: number;
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
 * Aggregate of outcomes by claim token. A token that is not known is answered
 * `unknown`: it may have been forgotten, or belong to an earlier incarnation.
 */
export class KeyedOutcomes<Answer> {
  private readonly entries = new Map<string, OutcomeEntry<Answer>>();
  private keptBytes = 0;

  constructor(private readonly options: KeyedOutcomesOptions = {}) {}

  /** A call with this token begins; a token is used once. */
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

  /** The call has ended; `notRun` needs proof. */
  endWithoutAnswer(
    now: Millis,
    token: string,
    state: 'notRun' | 'unknown',
  ): void {
    const entry = this.runningEntry(token);
    entry.state = state;
    entry.endedAt = now;
  }

  /** The call was answered by its server. */
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

  /** What another gateway is told of a token. */
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
