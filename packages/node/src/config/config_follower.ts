/** Follows one object of the store, which holds the configuration. */
import type {
  ObjectStore,
  StoreBreaker,
  StoredObject,
} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Result} from 'neverthrow';

/** What a follower starts from. */
export interface ConfigFollowerOptions<T> {
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  /** Object of the store. */
  readonly path: string;
  /** Reads the object; fails with what is wrong with it. */
  readonly decode: (text: string) => Result<T, string>;
  /** Whether this node is to wait for changes at the store, rather than hear of them from others. */
  readonly isWatcher: () => boolean;
  /** Nodes that watch, in turn. */
  readonly watcherCount: () => number;
  /** Rises from one configuration to the next. */
  readonly versionOf: (config: T) => number;
  readonly onConfig: (config: T, source: string) => void;
  /** The store can, or can no longer, be read. */
  readonly onStoreReachable: (reachable: boolean) => void;
  /** An object that cannot be used; the configuration in force stays. */
  readonly onInvalid: (reason: string) => void;
}

/** Interval at which a node looks whether it has become a watcher, milliseconds. */
const WATCHER_CHECK_INTERVAL_MS = 500;
/** Time after which some watcher of the fleet renews its watch, so that watches gone silent are noticed, milliseconds. */
const FLEET_RENEWAL_MS = 1_500;
const MIN_WATCH_MS = 3_000;
/** Below the longest wait that the store allows, milliseconds. */
const MAX_WATCH_MS = 25_000;
/** Wait before a first read that found nothing is made again, milliseconds. */
const ABSENT_RETRY_DELAY_MS = 2_000;

/** Holds the newest configuration of one process; it never takes an older one. */
export class ConfigFollower<T> {
  private held: {config: T; text: string} | undefined;
  private storeVersion = 0;
  private cancelPause: Cancel | undefined;
  private closed = false;
  private isStoreReachable = true;
  /** The store has no configuration yet. */
  private isAbsent = false;

  constructor(private readonly options: ConfigFollowerOptions<T>) {}

  /** Reads, then waits for changes, until closed. */
  async start(): Promise<void> {
    while (!this.closed) {
      const waitMs = await this.readOnce();
      if (waitMs > 0) await this.pause(waitMs);
    }
  }

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.held === undefined
      ? 0
      : this.options.versionOf(this.held.config);
  }

  get current(): T | undefined {
    return this.held?.config;
  }

  /** Text of the configuration in force, for nodes that cannot read the store. */
  get text(): string | undefined {
    return this.held?.text;
  }

  /** Takes a configuration from the store or from another node. */
  offer(text: string, source: string): void {
    const decoded = this.options.decode(text);
    if (decoded.isErr()) {
      this.options.onInvalid(decoded.error);
      return;
    }
    const config = decoded.value;
    if (this.options.versionOf(config) <= this.version) return;
    this.held = {config, text};
    this.options.onConfig(config, source);
  }

  close(): void {
    this.closed = true;
    this.cancelPause?.();
  }

  /** One read; answers how long to wait before the next, milliseconds. */
  private async readOnce(): Promise<number> {
    const {breaker, timers, store, path} = this.options;
    const isWatcher = this.options.isWatcher();
    if (!isWatcher && this.held !== undefined) return WATCHER_CHECK_INTERVAL_MS;
    if (!breaker.allows(timers.now())) return breaker.waitMs(timers.now());
    const usesWatch = isWatcher && (this.storeVersion > 0 || this.isAbsent);
    const read = usesWatch
      ? await store.watch(path, this.storeVersion, this.watchMs)
      : await store.get(path, {stale: !isWatcher});
    if (this.closed) return 0;
    if (read.isErr()) {
      breaker.fail(timers.now());
      this.setStoreReachable(false);
      // A watch that failed may have missed a change.
      this.storeVersion = 0;
      this.isAbsent = false;
      return breaker.waitMs(timers.now());
    }
    breaker.succeed();
    this.setStoreReachable(true);
    return this.applyObject(read.value);
  }

  private get watchMs(): number {
    const renewalMs = this.options.watcherCount() * FLEET_RENEWAL_MS;
    return Math.min(MAX_WATCH_MS, Math.max(MIN_WATCH_MS, renewalMs));
  }

  private applyObject(object: StoredObject | undefined): number {
    if (object === undefined) return this.handleAbsence();
    this.isAbsent = false;
    this.storeVersion = object.version;
    this.offer(object.value, 'store');
    return 0;
  }

  // A watcher hears of the first configuration from the store, others from a watcher.
  private handleAbsence(): number {
    if (this.options.isWatcher()) {
      this.isAbsent = this.storeVersion === 0;
      return 0;
    }
    return ABSENT_RETRY_DELAY_MS;
  }

  private setStoreReachable(reachable: boolean): void {
    if (reachable === this.isStoreReachable) return;
    this.isStoreReachable = reachable;
    this.options.onStoreReachable(reachable);
  }

  private pause(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      this.cancelPause = this.options.timers.after(waitMs, resolve);
    });
  }
}
