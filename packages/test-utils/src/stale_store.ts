/** An object store in memory whose stale reads lag behind and whose lists are paged. */
import {ObjectStore} from '@goldcresthill/object-store';
import type {
  KindChanges,
  KindList,
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
  /** Time until reads that may be stale see a write, milliseconds; until then they see the object as it was before. */
  readonly lagMs: number;
  /** Objects on one page of a list. */
  readonly pageSize: number;
  /** How the store treats this process; as `up` by default. */
  readonly availability?: () => StoreAvailability;
  /** Duration of each call, milliseconds; a few if undefined. */
  readonly callDelayMs?: () => number | undefined;
  /** Runs a function of this process after a delay, milliseconds; on the clock by default. */
  readonly after?: (delayMs: number, run: () => void) => void;
}

/** How a store treats the calls of a process: it answers, refuses, or never answers. */
export type StoreAvailability = 'up' | 'refusing' | 'silent';

const DEFAULT_CALL_DELAY_MS = 4;
/** Time after which a call without an answer fails, milliseconds. */
const CALL_TIMEOUT_MS = 1_000;
/** Time after its end at which a watch that has gone silent fails, milliseconds. */
const WATCH_GRACE_MS = 1_000;
/** Cost of a read that may be stale, in units of other calls. */
const STALE_READ_COST = 0.1;

interface PendingWatch {
  /** Ends the reports; the watch fails after its time. */
  readonly silence: () => void;
  /** Fails the watch. */
  readonly cut: () => void;
}

/** The store client of one process; processes share the platform and its write times. */
export class StaleStore extends ObjectStore {
  /** Calls made so far, weighted by their cost. */
  callCost = 0;
  private readonly pendingWatches = new Set<PendingWatch>();
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
    this.pendingWatches.forEach(({silence}) => silence());
  }

  /** Fails the pending watches, as when the store drops its history. */
  cutWatches(): void {
    this.pendingWatches.forEach(({cut}) => cut());
  }

  override get(
    path: string,
    {stale = false}: ReadOptions = {},
  ): StoreResult<StoredObject | undefined> {
    return this.call(stale, () => {
      const object = this.options.platform.get(path);
      return ok(stale ? this.olderState(path) : object);
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
        .flatMap(object => (stale ? this.olderStates(object.path) : object))
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
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    return this.call(false, () => ok(undefined), timeoutMs).andThen(
      () =>
        new ResultAsync<StoredObject | undefined, ErrorKind>(
          new Promise(done => this.awaitChange(path, known, waitMs, done)),
        ),
    );
  }

  override listKind(kind: string): StoreResult<KindList> {
    const {platform} = this.options;
    return this.call(false, () =>
      ok({
        era: platform.era,
        revision: platform.revision,
        names: platform.list(`${kind}/`).map(({path}) => nameOf(kind, path)),
        unreadable: 0,
      }),
    );
  }

  override watchKind(
    kind: string,
    since: number,
    waitMs: number,
  ): StoreResult<KindChanges | undefined> {
    const {platform} = this.options;
    const {era} = this;
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    const read = (): KindChanges | undefined => {
      const events = platform.eventsAfter(`${kind}/`, since);
      if (events === undefined || platform.era !== era) return undefined;
      const changes = events.map(({object: {path}, removed}) => ({
        name: nameOf(kind, path),
        removed,
      }));
      return {era, revision: platform.revision, changes, unreadable: 0};
    };
    return this.call(false, () => ok(undefined), timeoutMs).andThen(
      () =>
        new ResultAsync<KindChanges | undefined, ErrorKind>(
          new Promise(done => this.awaitKindChange(read, waitMs, done)),
        ),
    );
  }

  private awaitKindChange(
    read: () => KindChanges | undefined,
    waitMs: number,
    done: (result: Result<KindChanges | undefined, ErrorKind>) => void,
  ): void {
    let isSilent = false;
    const end = (result: Result<KindChanges | undefined, ErrorKind>): void => {
      unsubscribe();
      unsubscribeRestored();
      this.pendingWatches.delete(pending);
      if (result.isOk()) this.recordEra(this.options.platform.era);
      done(result);
    };
    const report = (evenIfEmpty: boolean): boolean => {
      const changes = read();
      const isDue = evenIfEmpty || changes?.changes.length !== 0;
      if (isSilent || !isDue) return false;
      end(ok(changes));
      return true;
    };
    const pending: PendingWatch = {
      silence: () => {
        isSilent = true;
      },
      cut: () => end(err('storeUnavailable')),
    };
    this.pendingWatches.add(pending);
    const unsubscribe = this.options.platform.onChange(() =>
      this.after(this.callDelayMs, () => report(false)),
    );
    const unsubscribeRestored = this.onRestored(() => report(true));
    if (report(false)) return;
    this.after(waitMs, () => report(true));
    this.after(waitMs + WATCH_GRACE_MS, () => {
      if (isSilent) end(err('storeUnavailable'));
    });
  }

  private awaitChange(
    path: string,
    known: number,
    waitMs: number,
    done: (result: Result<StoredObject | undefined, ErrorKind>) => void,
  ): void {
    const {platform} = this.options;
    let isSilent = false;
    let unsubscribe = (): void => undefined;
    const end = (result: Result<StoredObject | undefined, ErrorKind>): void => {
      unsubscribe();
      unsubscribeRestored();
      this.pendingWatches.delete(pending);
      if (result.isOk()) this.recordEra(platform.era);
      done(result);
    };
    const report = (object: StoredObject | undefined): void => {
      if (!isSilent) end(ok(object));
    };
    const pending: PendingWatch = {
      silence: () => {
        isSilent = true;
      },
      cut: () => end(err('storeUnavailable')),
    };
    this.pendingWatches.add(pending);
    const unsubscribeRestored = this.onRestored(() =>
      report(platform.get(path)),
    );
    const current = platform.get(path);
    if (current !== undefined && current.version !== known)
      return report(current);
    unsubscribe = platform.watch(path, object => {
      unsubscribe();
      this.after(this.callDelayMs, () => report(object));
    });
    this.after(waitMs, () => report(undefined));
    this.after(waitMs + WATCH_GRACE_MS, () => {
      if (isSilent) end(err('storeUnavailable'));
    });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private call<T>(
    stale: boolean,
    answer: () => Result<T, ErrorKind>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): StoreResult<T> {
    const {availability = () => 'up'} = this.options;
    this.callCost += stale ? STALE_READ_COST : 1;
    const fail = (done: (result: Result<T, ErrorKind>) => void): void =>
      done(err('storeUnavailable'));
    return new ResultAsync(
      new Promise(done => {
        if (availability() === 'silent')
          return this.after(timeoutMs, () => fail(done));
        this.after(this.callDelayMs, () => {
          if (availability() !== 'up') return fail(done);
          this.recordEra(this.options.platform.era);
          done(answer());
        });
      }),
    );
  }

  private get callDelayMs(): number {
    return this.options.callDelayMs?.() ?? DEFAULT_CALL_DELAY_MS;
  }

  private after(delayMs: number, run: () => void): void {
    const {after, clock} = this.options;
    if (after === undefined) clock.after(delayMs, run);
    else after(delayMs, run);
  }

  // The state of an object that reads which lag behind see; undefined if it did not exist yet.
  private olderState(path: string): StoredObject | undefined {
    const {clock, lagMs, platform} = this.options;
    const times = StaleStore.writtenAt.get(platform);
    return platform
      .eventsAfter(path, 0)
      ?.filter(({object: {path: changed, version}}) => {
        const writtenAt = times?.get(version) ?? 0;
        return changed === path && clock.now - writtenAt >= lagMs;
      })
      .map(({object, removed}) => (removed ? undefined : object))
      .at(-1);
  }

  private olderStates(path: string): StoredObject[] {
    const object = this.olderState(path);
    return object === undefined ? [] : [object];
  }
}

function nameOf(kind: string, path: string): string {
  return path.slice(kind.length + 1);
}
