/** The platform's store in virtual time, with faults. */
import {ObjectStore} from '@goldcresthill/object-store';
import type {StoredObject, StoreResult} from '@goldcresthill/object-store';
import type {MemoryPlatform, VirtualClock} from '@goldcresthill/test-utils';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {ErrorKind} from '@goldcresthill/errors';

/** What a call to the store meets. */
export type StoreWeather = 'up' | 'down' | 'losesAnswers' | 'late';

const MIN_DELAY_MS = 1;
const DELAY_SPREAD_MS = 4;
const TIMEOUT_MS = 100;
const LATE_MIN_MS = 50;
const LATE_SPREAD_MS = 1_500;

/** One process's connection to a MemoryPlatform. */
export class WorldStore extends ObjectStore {
  constructor(
    private readonly clock: VirtualClock,
    private readonly platform: MemoryPlatform,
    private readonly random: () => number,
    private readonly weather: () => StoreWeather,
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
    return this.delayed(this.delayMs()).andThen(() => {
      if (this.weather() === 'down')
        return this.timeout<StoredObject | undefined>();
      const now = this.platform.get(path);
      if (now !== undefined && now.version > after) return okAsync(now);
      return ResultAsync.fromSafePromise(this.wait(path, waitMs));
    });
  }

  override async close(): Promise<void> {}

  private wait(
    path: string,
    waitMs: number,
  ): Promise<StoredObject | undefined> {
    return new Promise(done => {
      const end = this.platform.watch(path, object => {
        end();
        this.clock.after(this.delayMs(), () => done(object));
      });
      this.clock.after(waitMs, () => {
        end();
        done(undefined);
      });
    });
  }

  private read<T>(read: () => T): StoreResult<T> {
    return this.delayed(this.delayMs()).andThen(() =>
      this.weather() === 'down'
        ? this.timeout<T>()
        : okAsync<T, ErrorKind>(read()),
    );
  }

  private write(
    apply: () => {type: 'written'; version: number} | {type: 'conflict'},
  ): StoreResult<number> {
    return this.delayed(this.delayMs()).andThen(() => {
      switch (this.weather()) {
        case 'down':
          return this.timeout<number>();
        case 'losesAnswers':
          apply();
          return this.timeout<number>();
        case 'late':
          this.clock.after(LATE_MIN_MS + this.random() * LATE_SPREAD_MS, apply);
          return this.timeout<number>();
        case 'up': {
          const outcome = apply();
          return outcome.type === 'written'
            ? okAsync<number, ErrorKind>(outcome.version)
            : errAsync<number, ErrorKind>('storeConflict');
        }
      }
    });
  }

  private timeout<T>(): StoreResult<T> {
    return this.delayed(TIMEOUT_MS).andThen(() =>
      errAsync<T, ErrorKind>('storeUnavailable'),
    );
  }

  private delayed(ms: number): ResultAsync<void, ErrorKind> {
    return ResultAsync.fromSafePromise(
      new Promise<void>(done => this.clock.after(ms, () => done())),
    );
  }

  private delayMs(): number {
    return MIN_DELAY_MS + this.random() * DELAY_SPREAD_MS;
  }
}
