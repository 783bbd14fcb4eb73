/** Object store with a rate limit and a count of its calls. */
import type {TokenBucket} from '@goldcresthill/budgets';
import type {ErrorKind, FaultListener} from '@goldcresthill/errors';
import {err, errAsync, ResultAsync} from 'neverthrow';
import type {Result} from 'neverthrow';
import {ObjectStore} from './object_store';
import type {
  CreateResult,
  KindChanges,
  KindList,
  ListOptions,
  ReadOptions,
  RestoreListener,
  StoredObject,
  StoreResult,
} from './object_store';

/** Options of BudgetedStore. */
export interface BudgetedStoreOptions {
  readonly inner: ObjectStore;
  readonly bucket: TokenBucket;
  /** Returns the monotonic time, milliseconds. */
  readonly now: () => number;
  /** Receives what the inner store throws. */
  readonly onFault: FaultListener;
}

/** Forwards calls to another store; calls over the budget fail with `storeBudget` and are not sent, and calls that throw fail with `storeUnavailable`. */
export class BudgetedStore extends ObjectStore {
  private callsMade = 0;
  private callsFailed = 0;

  private readonly inner: ObjectStore;

  constructor(private readonly options: BudgetedStoreOptions) {
    super();
    this.inner = options.inner;
  }

  /** Number of calls sent and of those that failed, since the process started. */
  get counts(): {made: number; failed: number} {
    return {made: this.callsMade, failed: this.callsFailed};
  }

  override get era(): number {
    return this.inner.era;
  }

  override onRestored(listener: RestoreListener): () => void {
    return this.inner.onRestored(listener);
  }

  override get(
    path: string,
    options?: ReadOptions,
  ): StoreResult<StoredObject | undefined> {
    return this.withinBudget(() => this.inner.get(path, options));
  }

  override put(
    path: string,
    value: string,
    condition: number,
  ): StoreResult<number> {
    return this.withinBudget(() => this.inner.put(path, value, condition));
  }

  override create(path: string, value: string): StoreResult<CreateResult> {
    return this.withinBudget(() => this.inner.create(path, value));
  }

  override remove(path: string, condition: number): StoreResult<void> {
    return this.withinBudget(() => this.inner.remove(path, condition));
  }

  override list(
    prefix: string,
    options?: ListOptions,
  ): StoreResult<StoredObject[]> {
    return this.withinBudget(() => this.inner.list(prefix, options));
  }

  override watch(
    path: string,
    known: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined> {
    return this.withinBudget(() => this.inner.watch(path, known, waitMs));
  }

  override listKind(kind: string): StoreResult<KindList> {
    return this.withinBudget(() => this.inner.listKind(kind));
  }

  override watchKind(
    kind: string,
    since: number,
    waitMs: number,
  ): StoreResult<KindChanges | undefined> {
    return this.withinBudget(() => this.inner.watchKind(kind, since, waitMs));
  }

  override close(): Promise<void> {
    return this.inner.close();
  }

  private withinBudget<T>(call: () => StoreResult<T>): StoreResult<T> {
    const {bucket, now} = this.options;
    if (!bucket.take(now())) return errAsync<T, ErrorKind>('storeBudget');
    this.callsMade++;
    return new ResultAsync(this.runCall(call)).mapErr(kind => {
      this.callsFailed++;
      return kind;
    });
  }

  private async runCall<T>(
    call: () => StoreResult<T>,
  ): Promise<Result<T, ErrorKind>> {
    try {
      return await call();
    } catch (fault) {
      this.options.onFault(fault);
      return err('storeUnavailable');
    }
  }
}
