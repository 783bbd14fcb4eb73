/** An object store in memory whose stale reads lag behind and whose lists are paged. */
import {ObjectStore} from '@goldcresthill/object-store';
import type {
  ListOptions,
  ReadOptions,
  StoredObject,
  StoreResult,
} from '@goldcresthill/object-store';
import type {ErrorKind} from '@goldcresthill/errors';
import {err, ok, ResultAsync} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {MemoryPlatform} from './memory_platform';
import type {VirtualClock} from './virtual_clock';

/** Options of a stale store. */
export interface StaleStoreOptions {
  readonly clock: VirtualClock;
  readonly platform: MemoryPlatform;
  /** Time until reads that may be stale see a write, milliseconds; until then the object reads as missing. */
  readonly lagMs: number;
  /** Objects on one page of a list. */
  readonly pageSize: number;
  /** Whether the store is available to this process; always by default. */
  readonly isUp?: () => boolean;
}

/** Duration of each call in virtual time. */
const CALL_DELAY_MS = 4;
/** Time after its end at which a watch that has gone silent fails, milliseconds. */
const WATCH_GRACE_MS = 1_000;
/** Cost of a read that may be stale, in units of other calls. */
const STALE_READ_COST = 0.1;

/** The store client of one process; processes share the platform and its write times. */
export class StaleStore extends ObjectStore {
  /** Calls made so far, weighted by their cost. */
  callCost = 0;
  /** Ends the reports of a pending watch. */
  private readonly pendingWatches = new Set<() => void>();
  private static readonly writtenAt = new WeakMap<
    MemoryPlatform,
    Map<number, number>
  >();

  /** Records the time, in milliseconds of virtual time, of a write that was not made through a StaleStore. */
  static recordWrite(
    platform: MemoryPlatform,
    version: number,
    at: number,
  ): void {
    const times = StaleStore.writtenAt.get(platform) ?? new Map();
    StaleStore.writtenAt.set(platform, times.set(version, at));
  }

  constructor(private readonly options: StaleStoreOptions) {
    super();
  }

  /** Makes the connections of pending watches go silent: the watches report no change, and fail after their time. */
  silenceWatches(): void {
    this.pendingWatches.forEach(silence => silence());
  }

  override get(
    path: string,
    {stale = false}: ReadOptions = {},
  ): StoreResult<StoredObject | undefined> {
    return this.call(stale, () => {
      const object = this.options.platform.get(path);
      const visible = object !== undefined && this.isVisible(object, stale);
      return ok(visible ? object : undefined);
    });
  }

  override put(
    path: string,
    value: string,
    condition: number,
  ): StoreResult<number> {
    const {platform, clock} = this.options;
    return this.call(false, () => {
      const outcome = platform.put(path, value, condition);
      if (outcome.type === 'conflict') return err('storeConflict');
      StaleStore.recordWrite(platform, outcome.version, clock.now);
      return ok(outcome.version);
    });
  }

  override remove(path: string, condition: number): StoreResult<void> {
    return this.call(false, () => {
      const outcome = this.options.platform.remove(path, condition);
      return outcome?.type === 'conflict'
        ? err('storeConflict')
        : ok(undefined);
    });
  }

  override list(
    prefix: string,
    {stale = false, after = '', onePage = false}: ListOptions = {},
  ): StoreResult<StoredObject[]> {
    const {platform, pageSize: page} = this.options;
    return this.call(stale, () => {
      const objects = platform
        .list(prefix)
        .filter(object => this.isVisible(object, stale))
        .filter(object => object.path > prefix + after)
        .sort((a, b) => (a.path < b.path ? -1 : 1));
      return ok(onePage ? objects.slice(0, page) : objects);
    });
  }

  override watch(
    path: string,
    known: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined> {
    const {platform, clock} = this.options;
    return this.call(false, () => ok(undefined)).andThen(
      () =>
        new ResultAsync<StoredObject | undefined, ErrorKind>(
          new Promise(done => {
            const read = (): StoredObject | undefined => {
              const object = platform.get(path);
              return object?.version === known ? undefined : object;
            };
            let isSilent = false;
            const silence = (): void => {
              isSilent = true;
            };
            this.pendingWatches.add(silence);
            const end = (object: StoredObject | undefined): void => {
              if (isSilent) return;
              unsubscribe();
              unsubscribeRestored();
              this.pendingWatches.delete(silence);
              this.recordEra(platform.era);
              done(ok(object));
            };
            let unsubscribe = (): void => undefined;
            const unsubscribeRestored = this.onRestored(() =>
              end(platform.get(path)),
            );
            const found = read();
            if (found !== undefined) return end(found);
            unsubscribe = platform.watch(path, object => {
              unsubscribe();
              clock.after(CALL_DELAY_MS, () => end(object));
            });
            clock.after(waitMs, () => end(undefined));
            clock.after(waitMs + WATCH_GRACE_MS, () => {
              if (isSilent) done(err('storeUnavailable'));
              this.pendingWatches.delete(silence);
            });
          }),
        ),
    );
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private call<T>(
    stale: boolean,
    answer: () => Result<T, ErrorKind>,
  ): StoreResult<T> {
    const {clock, isUp = () => true} = this.options;
    this.callCost += stale ? STALE_READ_COST : 1;
    return new ResultAsync(
      new Promise(done =>
        clock.after(CALL_DELAY_MS, () => {
          if (!isUp()) return done(err('storeUnavailable'));
          this.recordEra(this.options.platform.era);
          done(answer());
        }),
      ),
    );
  }

  private isVisible({version}: StoredObject, stale: boolean): boolean {
    const {clock, lagMs, platform} = this.options;
    const writtenAt = StaleStore.writtenAt.get(platform)?.get(version) ?? 0;
    return !stale || clock.now - writtenAt >= lagMs;
  }
}
