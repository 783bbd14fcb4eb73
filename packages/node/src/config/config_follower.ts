/** Follows the store object that holds the configuration. */
import type {FaultListener} from '@goldcresthill/errors';
import type {
  ObjectStore,
  StoreBreaker,
  StoredObject,
} from '@goldcresthill/object-store';
import {WakeableDelay} from '@goldcresthill/timers';
import type {Timers} from '@goldcresthill/timers';
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
  /** Undefined if the node only replaces the chosen watchers. */
  readonly rank: number | undefined;
}

/** Receives what the store's answers prove of the newest version. */
export interface NewestVersionListener {
  /** The store is about to be queried. */
  readonly ask: () => number;
  /** A version was the newest in the store at the time of a query; its number is what `ask` returned. */
  readonly recordNewest: (ref: number, version: number) => void;
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
  /** Whether a configuration that is seconds old may be put into force while there is none. */
  readonly acceptsStale: boolean;
  /** Whether this node watches the object in the store, rather than receive changes from other nodes. */
  readonly isWatcher: () => boolean;
  /** Returns the time until this node is to read the object although it has a configuration, milliseconds. */
  readonly msUntilRead: () => Millis;
  /** Returns the number of nodes that watch the object, and the rank of this node among them, counted from 0. */
  readonly watchers: () => WatcherPosition;
  /** Interval at which one of the watchers renews its watch, milliseconds. */
  readonly renewalMs: Millis;
  /** Returns the time since the store's newest answer to any node that this one knows of, milliseconds. */
  readonly confirmedMs: () => Millis;
  /** Returns the version of a configuration, which is higher in each later one. */
  readonly versionOf: (config: T) => number;
  readonly onConfig: (config: T, origin: ConfigOrigin) => void;
  /** The store returned the newest state as of a time, and it has been put into force. */
  readonly onAnswer: (asOf: Millis) => void;
  readonly newest?: NewestVersionListener | undefined;
  /** The store did not answer a call. */
  readonly onNoAnswer: () => void;
  /** A watch has begun that ends after a time, milliseconds, if nothing changes. */
  readonly onWatch?: (watchMs: Millis) => void;
  /** The store became reachable or unreachable. */
  readonly onStoreReachable: (reachable: boolean) => void;
  /** The object was rejected as invalid; the configuration in force stays. */
  readonly onInvalid: (reason: string) => void;
  readonly onFault: FaultListener;
}

/** Longest time until a node checks again whether to read or watch, milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Longest watch, milliseconds; shorter than the longest wait that the store allows. */
const MAX_WATCH_MS = 25_000;
/** Wait of a watch that only asks whether there is a change, milliseconds. */
const QUERY_WATCH_MS = 1;
/** Delay before the first read is repeated if the object does not exist, milliseconds. */
const ABSENT_RETRY_DELAY_MS = 2_000;

/** Keeps the configuration in force and replaces it only by ones of a higher version. */
export class ConfigFollower<T> {
  private held: {config: T; text: string} | undefined;
  private objectVersion = 0;
  /** Version of the configuration that the object holds; undefined if the object is not known or invalid. */
  private storedVersion: number | undefined;
  private closed = false;
  /** Whether the last watch ended without a change, so that this node keeps its turn among the watchers. */
  private hasTurn = false;
  /** Time by which the last watch ended too early after that of another watcher, milliseconds. */
  private turnShiftMs: Millis = 0;
  private isStoreReachable = true;
  /** Whether the store has no configuration yet. */
  private isAbsent = false;
  private absentUntil: Millis = -Infinity;
  private readonly readDelay: WakeableDelay;
  private readonly watchDelay: WakeableDelay;

  private readonly unsubscribeRestored: () => void;

  constructor(private readonly options: ConfigFollowerOptions<T>) {
    const {timers, store} = options;
    this.readDelay = new WakeableDelay(timers);
    this.watchDelay = new WakeableDelay(timers);
    this.unsubscribeRestored = store.onRestored(() => this.forgetObject());
  }

  /** Reads the object and follows its changes until closed. */
  async start(): Promise<void> {
    await Promise.all([
      this.repeat(this.readDelay, () => this.readIfDue()),
      this.repeat(this.watchDelay, () => this.watchIfDue()),
    ]);
  }

  /** Checks at once whether to read or watch, as what `isWatcher` or `msUntilRead` returns has changed. */
  reconsider(): void {
    this.readDelay.wake();
    this.watchDelay.wake();
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

  /** Puts an encoded configuration into force if it is valid and newer; returns its version, or undefined if it is invalid. */
  offer(text: string, origin: ConfigOrigin): number | undefined {
    const decoded = this.options.decode(text);
    if (decoded.isErr()) {
      this.options.onInvalid(decoded.error);
      return undefined;
    }
    const config = decoded.value;
    const version = this.options.versionOf(config);
    if (version <= this.version) return version;
    this.held = {config, text};
    this.options.onConfig(config, origin);
    return version;
  }

  /**
   * Queries the store once and puts a newer configuration into force. Resolves
   * to the version that was the newest in the store at the time of the call, or
   * to undefined if the store did not answer or its object is invalid.
   */
  async queryNewest(): Promise<number | undefined> {
    const {timers, store, path} = this.options;
    const {objectVersion, storedVersion} = this;
    const askedAt = timers.now();
    if (objectVersion === 0) {
      const read = await store.get(path);
      if (this.closed || read.isErr()) return undefined;
      return this.applyObject(read.value, 'read', askedAt);
    }
    const watched = await store.watch(path, objectVersion, QUERY_WATCH_MS);
    if (this.closed || watched.isErr()) return undefined;
    if (watched.value !== undefined)
      return this.applyObject(watched.value, 'watch', askedAt);
    // Another call may have received a change that the store had then.
    return this.objectVersion === objectVersion ? storedVersion : undefined;
  }

  close(): void {
    this.closed = true;
    this.reconsider();
    this.unsubscribeRestored();
  }

  /** Calls `run`, which resolves to the delay before the next call, until closed. */
  private async repeat(
    delay: WakeableDelay,
    run: () => Promise<Millis>,
  ): Promise<void> {
    while (!this.closed) {
      const waitMs = await run().catch(err => this.recordFault(err));
      if (waitMs > 0) await delay.wait(waitMs);
    }
  }

  private forgetObject(): void {
    this.objectVersion = 0;
    this.storedVersion = undefined;
    this.isAbsent = false;
    this.readDelay.wake();
  }

  // Reads and watches run side by side, so that a silent watch delays no read.
  private async readIfDue(): Promise<Millis> {
    const {breaker, timers} = this.options;
    const dueMs = this.msUntilRead();
    if (dueMs > 0) return Math.min(dueMs, CHECK_INTERVAL_MS);
    const now = timers.now();
    if (!breaker.allows(now)) return breaker.waitMs(now);
    if (this.held === undefined && this.options.acceptsStale)
      return this.read('staleRead');
    const isFirstRead = this.held === undefined && this.isStoreReachable;
    const isProbed = !isFirstRead && !this.options.isWatcher();
    // Many nodes may find out that the store answers nobody, by calls that cost less than a read of the newest state.
    if (isProbed && !(await this.probe())) return breaker.waitMs(timers.now());
    return this.read('read');
  }

  private msUntilRead(): Millis {
    const {isWatcher, msUntilRead, timers} = this.options;
    if (this.held === undefined)
      return Math.max(0, this.absentUntil - timers.now());
    const lacksObject = this.objectVersion === 0 && !this.isAbsent;
    return lacksObject && isWatcher() ? 0 : msUntilRead();
  }

  private async read(source: 'read' | 'staleRead'): Promise<Millis> {
    const {timers, store, path, onAnswer} = this.options;
    const askedAt = timers.now();
    const ref = this.options.newest?.ask();
    const read = await store.get(path, {stale: source === 'staleRead'});
    if (this.closed) return 0;
    if (read.isErr()) return this.recordNoAnswer();
    this.recordReachable();
    const version = this.applyObject(read.value, source, askedAt);
    if (source === 'read') {
      this.recordNewest(ref, version);
      onAnswer(askedAt);
    }
    this.watchDelay.wake();
    return 0;
  }

  private async probe(): Promise<boolean> {
    const {store, path} = this.options;
    const read = await store.get(path, {stale: true});
    if (this.closed) return false;
    if (read.isErr()) this.recordNoAnswer();
    return read.isOk();
  }

  private async watchIfDue(): Promise<Millis> {
    const {breaker, timers, store, path, onAnswer} = this.options;
    const now = timers.now();
    const knowsObject = this.objectVersion > 0 || this.isAbsent;
    if (!knowsObject || !this.options.isWatcher()) return CHECK_INTERVAL_MS;
    if (!breaker.allows(now)) return breaker.waitMs(now);
    const watchMs = this.watchMs();
    this.options.onWatch?.(watchMs);
    const ref = this.options.newest?.ask();
    const watched = await store.watch(path, this.objectVersion, watchMs);
    if (this.closed) return 0;
    this.hasTurn = watched.isOk() && watched.value === undefined;
    if (watched.isErr()) {
      // A failed watch may have missed a change, so the object is read again.
      this.forgetObject();
      return this.recordNoAnswer();
    }
    this.recordReachable();
    const {renewalMs, confirmedMs} = this.options;
    this.turnShiftMs = Math.max(0, renewalMs - confirmedMs());
    if (watched.value === undefined) {
      // A process that stood still reads the answer late.
      onAnswer(Math.min(timers.now(), now + watchMs));
    } else {
      this.recordNewest(ref, this.applyObject(watched.value, 'watch', now));
      onAnswer(timers.now());
    }
    return 0;
  }

  // An object that cannot be handled must not end the watch for later ones.
  private recordFault(err: unknown): Millis {
    const {breaker, timers, onFault} = this.options;
    onFault(err);
    breaker.fail(timers.now());
    return breaker.waitMs(timers.now());
  }

  private recordNoAnswer(): Millis {
    const {breaker, timers, onNoAnswer} = this.options;
    breaker.fail(timers.now());
    onNoAnswer();
    this.setStoreReachable(false);
    return breaker.waitMs(timers.now());
  }

  private recordReachable(): void {
    this.options.breaker.succeed();
    this.setStoreReachable(true);
  }

  // A change ends the watches of all watchers at once. The next ones end one
  // after the other, and each later one takes as long as a round of all
  // watchers. A watcher that ends too early after another one moves back.
  private watchMs(): Millis {
    const {renewalMs} = this.options;
    const {count, rank} = this.options.watchers();
    const isInRound = this.hasTurn && rank !== undefined;
    // A node that replaces the watchers is mostly the only one.
    const watchMs = isInRound
      ? count * renewalMs + this.turnShiftMs
      : ((rank ?? 0) + 1) * renewalMs;
    return Math.min(MAX_WATCH_MS, watchMs);
  }

  private recordNewest(ref: number | undefined, version?: number): void {
    if (ref !== undefined && version !== undefined)
      this.options.newest?.recordNewest(ref, version);
  }

  // Returns the version of the configuration in the object; undefined if it is absent, invalid or older than one received before.
  private applyObject(
    object: StoredObject | undefined,
    source: ConfigSource,
    askedAt: Millis,
  ): number | undefined {
    const now = this.options.timers.now();
    if (object !== undefined && object.version < this.objectVersion)
      return undefined;
    this.isAbsent = object === undefined;
    this.objectVersion = object?.version ?? 0;
    this.absentUntil = now + ABSENT_RETRY_DELAY_MS;
    this.storedVersion =
      object && this.offer(object.value, {source, askedMs: now - askedAt});
    return this.storedVersion;
  }

  private setStoreReachable(reachable: boolean): void {
    if (reachable === this.isStoreReachable) return;
    this.isStoreReachable = reachable;
    this.options.onStoreReachable(reachable);
  }
}
