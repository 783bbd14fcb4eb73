/** Follows the store object that holds the configuration. */
import type {FaultListener} from '@goldcresthill/errors';
import type {
  ObjectStore,
  StoreBreaker,
  StoredObject,
} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis} from '@goldcresthill/types';
import type {Result} from 'neverthrow';

/** How a configuration arrived at this node. */
export type ConfigSource =
  /** A read of the newest state of the store. */
  | 'read'
  /** A read that may return data that is seconds old. */
  | 'staleRead'
  | 'watch'
  | 'peer';

/** Where a configuration came from, for logs. */
export interface ConfigOrigin {
  readonly source: ConfigSource;
  /** The peer that sent it, for `peer`. */
  readonly from?: string;
  /** Time since the call that returned it was made, milliseconds. */
  readonly askedMs: Millis;
}

/** Position of a node among the watchers. */
export interface WatcherPosition {
  readonly count: number;
  /** Undefined if the node watches only because it hears of no watcher. */
  readonly rank: number | undefined;
}

/** Options of ConfigFollower. */
export interface ConfigFollowerOptions<T> {
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  /** Path of the object in the store. */
  readonly path: string;
  /** Decodes the object; the error describes why it is invalid. */
  readonly decode: (text: string) => Result<T, string>;
  /** Whether this node watches the object in the store, rather than receive changes from other nodes. */
  readonly isWatcher: () => boolean;
  /** Returns the number of nodes that watch the object, and the rank of this node among them, counted from 0. */
  readonly watchers: () => WatcherPosition;
  /**
   * Interval at which one of the watchers renews its watch, milliseconds. A watch
   * whose connection has gone silent reports no change and no error, so this
   * limits the time until a change is noticed.
   */
  readonly renewalMs: Millis;
  /** Returns the version of a configuration, which is higher in each later one. */
  readonly versionOf: (config: T) => number;
  readonly onConfig: (config: T, origin: ConfigOrigin) => void;
  /** Called after each call to the store. */
  readonly onStoreCall: (isAnswered: boolean) => void;
  /** The store became reachable or unreachable. */
  readonly onStoreReachable: (reachable: boolean) => void;
  /** The object was rejected as invalid; the configuration in force stays. */
  readonly onInvalid: (reason: string) => void;
  readonly onFault: FaultListener;
}

/** Interval at which a node checks whether it has become a watcher, milliseconds. */
const WATCHER_CHECK_INTERVAL_MS = 500;
/** Longest watch, milliseconds; shorter than the longest wait that the store allows. */
const MAX_WATCH_MS = 25_000;
/** Delay before the first read is repeated if the object does not exist, milliseconds. */
const ABSENT_RETRY_DELAY_MS = 2_000;

/** Keeps the configuration in force and replaces it only by ones of a higher version. */
export class ConfigFollower<T> {
  private held: {config: T; text: string} | undefined;
  private objectVersion = 0;
  private cancelPause: Cancel | undefined;
  private closed = false;
  /** Whether the last watch ended without a change, so that this node keeps its turn among the watchers. */
  private hasTurn = false;
  private isStoreReachable = true;
  /** Whether the store has no configuration yet. */
  private isAbsent = false;

  private readonly unsubscribeRestored: () => void;

  constructor(private readonly options: ConfigFollowerOptions<T>) {
    this.unsubscribeRestored = options.store.onRestored(() =>
      this.forgetObject(),
    );
  }

  /** Reads the object and follows its changes until closed. */
  async start(): Promise<void> {
    while (!this.closed) {
      const waitMs = await this.readOnce().catch(err => this.recordFault(err));
      if (waitMs > 0) await this.pause(waitMs);
    }
  }

  /** Version of the configuration in force; 0 without one. */
  get version(): number {
    return this.held === undefined
      ? 0
      : this.options.versionOf(this.held.config);
  }

  get current(): T | undefined {
    return this.held?.config;
  }

  /** Encoded configuration in force, for nodes that cannot read the store. */
  get text(): string | undefined {
    return this.held?.text;
  }

  /** Puts an encoded configuration into force if it is valid and newer. */
  offer(text: string, origin: ConfigOrigin): void {
    const decoded = this.options.decode(text);
    if (decoded.isErr()) {
      this.options.onInvalid(decoded.error);
      return;
    }
    const config = decoded.value;
    if (this.options.versionOf(config) <= this.version) return;
    this.held = {config, text};
    this.options.onConfig(config, origin);
  }

  close(): void {
    this.closed = true;
    this.cancelPause?.();
    this.unsubscribeRestored();
  }

  private forgetObject(): void {
    this.objectVersion = 0;
    this.isAbsent = false;
  }

  /** Reads or watches the object once; resolves to the delay before the next read, milliseconds. */
  private async readOnce(): Promise<number> {
    const {breaker, timers, store, path} = this.options;
    const isWatcher = this.options.isWatcher();
    if (!isWatcher && this.held !== undefined) return WATCHER_CHECK_INTERVAL_MS;
    if (!breaker.allows(timers.now())) return breaker.waitMs(timers.now());
    const usesWatch = isWatcher && (this.objectVersion > 0 || this.isAbsent);
    const watchMs = this.watchMs();
    const askedAt = timers.now();
    const read = usesWatch
      ? await store.watch(path, this.objectVersion, watchMs)
      : await store.get(path, {stale: !isWatcher});
    if (this.closed) return 0;
    this.options.onStoreCall(read.isOk());
    this.hasTurn = usesWatch && read.isOk() && read.value === undefined;
    if (read.isErr()) {
      breaker.fail(timers.now());
      this.setStoreReachable(false);
      // A failed watch may have missed a change, so the object is read again.
      this.forgetObject();
      return breaker.waitMs(timers.now());
    }
    breaker.succeed();
    this.setStoreReachable(true);
    const readSource = isWatcher ? 'read' : 'staleRead';
    return this.applyObject(read.value, {
      source: usesWatch ? 'watch' : readSource,
      askedMs: timers.now() - askedAt,
    });
  }

  // An object that cannot be handled must not end the watch for later ones.
  private recordFault(err: unknown): number {
    const {breaker, timers, onFault} = this.options;
    onFault(err);
    breaker.fail(timers.now());
    return breaker.waitMs(timers.now());
  }

  // A change ends the watches of all watchers at once. The next ones end one
  // after the other, and each later one takes as long as a round of all watchers.
  private watchMs(): Millis {
    const {count, rank} = this.options.watchers();
    const turns = this.hasTurn || rank === undefined ? count : rank + 1;
    return Math.min(MAX_WATCH_MS, turns * this.options.renewalMs);
  }

  private applyObject(
    object: StoredObject | undefined,
    origin: ConfigOrigin,
  ): number {
    if (object === undefined) return this.handleAbsence();
    this.isAbsent = false;
    this.objectVersion = object.version;
    this.offer(object.value, origin);
    return 0;
  }

  // A watcher waits for the first configuration at the store; other nodes receive it from a watcher.
  private handleAbsence(): number {
    if (this.options.isWatcher()) {
      this.isAbsent = this.objectVersion === 0;
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
