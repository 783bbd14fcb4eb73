/** Store whose calls are counted and kept within a budget. */
import type {TokenBucket} from '@goldcresthill/budgets';
import type {ErrorKind} from '@goldcresthill/errors';
import {errAsync} from 'neverthrow';
import {ObjectStore} from './object_store';
import type {
  Creation,
  ListOptions,
  ReadOptions,
  StoredObject,
  StoreResult,
} from './object_store';

/** Refuses calls over the budget with `storeBudget`, without sending them. */
export class BudgetedStore extends ObjectStore {
  private made = 0;
  private failed = 0;

  constructor(
    private readonly inner: ObjectStore,
    private readonly bucket: TokenBucket,
    private readonly clock: () => number,
  ) {
    super();
  }

  /** Calls made and calls that failed, since the start. */
  get counts(): {made: number; failed: number} {
    return {made: this.made, failed: this.failed};
  }

  override get(
    path: string,
    options?: ReadOptions,
  ): StoreResult<StoredObject | undefined> {
    return this.spend(() => this.inner.get(path, options));
  }

  override put(
    path: string,
    value: string,
    condition: number,
  ): StoreResult<number> {
    return this.spend(() => this.inner.put(path, value, condition));
  }

  override create(path: string, value: string): StoreResult<Creation> {
    return this.spend(() => this.inner.create(path, value));
  }

  override remove(path: string, condition: number): StoreResult<void> {
    return this.spend(() => this.inner.remove(path, condition));
  }

  override list(
    prefix: string,
    options?: ListOptions,
  ): StoreResult<StoredObject[]> {
    return this.spend(() => this.inner.list(prefix, options));
  }

  override watch(
    path: string,
    after: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined> {
    return this.spend(() => this.inner.watch(path, after, waitMs));
  }

  override close(): Promise<void> {
    return this.inner.close();
  }

  private spend<T>(call: () => StoreResult<T>): StoreResult<T> {
    if (!this.bucket.take(this.clock()))
      return errAsync<T, ErrorKind>('storeBudget');
    this.made++;
    return call().mapErr(kind => {
      this.failed++;
      return kind;
    });
  }
}
