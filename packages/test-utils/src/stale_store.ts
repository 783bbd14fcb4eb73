/** A store in memory whose cheap reads are behind, and whose lists come in pages. */
import {ObjectStore} from '@goldcresthill/object-store';
import type {
  ListOptions,
  ReadOptions,
  StoredObject,
  StoreResult,
} from '@goldcresthill/object-store';
import {errAsync, okAsync} from 'neverthrow';
import type {MemoryPlatform} from './memory_platform';
import type {VirtualClock} from './virtual_clock';

/** What the store starts from. */
export interface StaleStoreOptions {
  readonly clock: VirtualClock;
  readonly platform: MemoryPlatform;
  /** By how much reads that may be stale are behind, milliseconds. */
  readonly lagMs: number;
  /** Objects listed at once. */
  readonly page: number;
}

/** Answers at once. */
export class StaleStore extends ObjectStore {
  private static readonly writtenAt = new WeakMap<
    MemoryPlatform,
    Map<number, number>
  >();

  constructor(private readonly options: StaleStoreOptions) {
    super();
  }

  override get(
    path: string,
    {stale = false}: ReadOptions = {},
  ): StoreResult<StoredObject | undefined> {
    const object = this.options.platform.get(path);
    const visible = object !== undefined && this.isVisible(object, stale);
    return okAsync(visible ? object : undefined);
  }

  override put(
    path: string,
    value: string,
    condition: number,
  ): StoreResult<number> {
    const {platform, clock} = this.options;
    const outcome = platform.put(path, value, condition);
    if (outcome.type === 'conflict') return errAsync('storeConflict');
    this.times.set(outcome.version, clock.now);
    return okAsync(outcome.version);
  }

  override remove(path: string, condition: number): StoreResult<void> {
    const outcome = this.options.platform.remove(path, condition);
    return outcome?.type === 'conflict'
      ? errAsync('storeConflict')
      : okAsync(undefined);
  }

  override list(
    prefix: string,
    {stale = false, after = '', onePage = false}: ListOptions = {},
  ): StoreResult<StoredObject[]> {
    const {platform, page} = this.options;
    const objects = platform
      .list(prefix)
      .filter(object => this.isVisible(object, stale))
      .filter(object => object.path > prefix + after)
      .sort((a, b) => (a.path < b.path ? -1 : 1));
    return okAsync(onePage ? objects.slice(0, page) : objects);
  }

  override watch(): StoreResult<StoredObject | undefined> {
    return okAsync(undefined);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private isVisible({version}: StoredObject, stale: boolean): boolean {
    const {clock, lagMs} = this.options;
    return !stale || clock.now - (this.times.get(version) ?? 0) >= lagMs;
  }

  /** Instants of writes by version, shared by all stores of one platform. */
  private get times(): Map<number, number> {
    const {platform} = this.options;
    const times = StaleStore.writtenAt.get(platform) ?? new Map();
    StaleStore.writtenAt.set(platform, times);
    return times;
  }
}
