/** The platform's object store in virtual time, with injected faults. */
import {ObjectStore} from '@goldcresthill/object-store';
import type {
  KindChanges,
  KindList,
  StoredObject,
  StoreResult,
} from '@goldcresthill/object-store';
import type {MemoryPlatform, VirtualClock} from '@goldcresthill/test-utils';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {ErrorKind} from '@goldcresthill/errors';

/**
 * How the store handles calls. With `down`, reads and writes time out. With
 * `losesAnswers` and `late`, only writes time out: they take effect at once or
 * after a delay.
 */
export type StoreMode = 'up' | 'down' | 'losesAnswers' | 'late';

const MIN_DELAY_MS = 1;
const DELAY_SPREAD_MS = 4;
const TIMEOUT_MS = 100;
const LATE_WRITE_MIN_DELAY_MS = 50;
const LATE_WRITE_DELAY_SPREAD_MS = 1_500;

/** Store client of one process on a MemoryPlatform; `mode` is called for each operation. */
export class SimulatedStore extends ObjectStore {
  constructor(
    private readonly clock: VirtualClock,
    private readonly platform: MemoryPlatform,
    private readonly random: () => number,
    private readonly mode: () => StoreMode,
  ) {
    super();
  }

  override get(path: string): StoreResult<StoredObject | undefined> {
    return this.read(() => this.platform.get(path));
  }

  override list(prefix: string): StoreResult<StoredObject[]> {
    return this.read(() => this.platform.list(prefix));
  }

  override put(
    path: string,
    value: string,
    condition: number,
  ): StoreResult<number> {
    return this.write(() => this.platform.put(path, value, condition));
  }

  override remove(path: string, condition: number): StoreResult<void> {
    const apply = () =>
      this.platform.remove(path, condition) ?? {
        type: 'written' as const,
        version: 0,
      };
    return this.write(apply).map(() => undefined);
  }

  override watch(
    path: string,
    after: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined> {
    return this.sleep(this.delayMs()).andThen(() => {
      if (this.mode() === 'down')
        return this.failAfterTimeout<StoredObject | undefined>();
      const current = this.platform.get(path);
      if (current !== undefined && current.version > after)
        return okAsync(current);
      return ResultAsync.fromSafePromise(this.waitForChange(path, waitMs));
    });
  }

  /** Nodes with this store follow no kinds. */
  override listKind(): StoreResult<KindList> {
    return this.failAfterTimeout();
  }

  override watchKind(): StoreResult<KindChanges | undefined> {
    return this.failAfterTimeout();
  }

  override async close(): Promise<void> {}

  private waitForChange(
    path: string,
    waitMs: number,
  ): Promise<StoredObject | undefined> {
    return new Promise(done => {
      const unwatch = this.platform.watch(path, object => {
        unwatch();
        this.clock.after(this.delayMs(), () => done(object));
      });
      this.clock.after(waitMs, () => {
        unwatch();
        done(undefined);
      });
    });
  }

  private read<T>(read: () => T): StoreResult<T> {
    return this.sleep(this.delayMs()).andThen(() =>
      this.mode() === 'down'
        ? this.failAfterTimeout<T>()
        : okAsync<T, ErrorKind>(read()),
    );
  }

  private write(
    apply: () => {type: 'written'; version: number} | {type: 'conflict'},
  ): StoreResult<number> {
    return this.sleep(this.delayMs()).andThen(() => {
      switch (this.mode()) {
        case 'down':
          return this.failAfterTimeout<number>();
        case 'losesAnswers':
          apply();
          return this.failAfterTimeout<number>();
        case 'late':
          this.clock.after(
            LATE_WRITE_MIN_DELAY_MS +
              this.random() * LATE_WRITE_DELAY_SPREAD_MS,
            apply,
          );
          return this.failAfterTimeout<number>();
        case 'up': {
          const outcome = apply();
          return outcome.type === 'written'
            ? okAsync<number, ErrorKind>(outcome.version)
            : errAsync<number, ErrorKind>('storeConflict');
        }
      }
    });
  }

  private failAfterTimeout<T>(): StoreResult<T> {
    return this.sleep(TIMEOUT_MS).andThen(() =>
      errAsync<T, ErrorKind>('storeUnavailable'),
    );
  }

  private sleep(ms: number): ResultAsync<void, ErrorKind> {
    return ResultAsync.fromSafePromise(
      new Promise<void>(done => this.clock.after(ms, () => done())),
    );
  }

  private delayMs(): number {
    return MIN_DELAY_MS + this.random() * DELAY_SPREAD_MS;
  }
}
