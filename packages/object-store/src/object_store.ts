/** Interface of the platform's object store. */
import type {ErrorKind} from '@goldcresthill/errors';
import {errAsync, okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';

/** An object with the version that the store assigned. Versions only increase within an era. */
export interface StoredObject {
  readonly path: string;
  readonly version: number;
  readonly value: string;
}

/** Result of ObjectStore.create. */
export interface CreateResult {
  readonly created: boolean;
  /** The current object: the existing one if none was created. */
  readonly object: StoredObject;
}

/** Options of reads. */
export interface ReadOptions {
  /** Allows a result that is some seconds old, which is cheaper for the store. */
  readonly stale?: boolean;
}

/** Options of ObjectStore.list. */
export interface ListOptions extends ReadOptions {
  /** Lists only names after this one, in the order of names. */
  readonly after?: string;
  /** Lists only the first page that the store returns. */
  readonly onePage?: boolean;
}

/** Names of the objects of a kind at one revision of the store. */
export interface KindList {
  /** Era of the store that the list belongs to. */
  readonly era: number;
  readonly revision: number;
  readonly names: readonly string[];
  /** Number of entries whose name could not be read. */
  readonly unreadable: number;
}

/** Changes of the objects of a kind, in their order. */
export interface KindChanges {
  readonly era: number;
  /** Revision that the changes lead to. */
  readonly revision: number;
  readonly changes: ReadonlyArray<{
    readonly name: string;
    readonly removed: boolean;
  }>;
  /** Number of changes whose object could not be read. */
  readonly unreadable: number;
}

/** Result of a call to the store. */
export type StoreResult<T> = ResultAsync<T, ErrorKind>;

/** Receives the new era of a store that was restored. */
export type RestoreListener = (era: number) => void;

/** Version that an object must have for a write to take effect; 0 if it must not exist. */
export type ExpectedVersion = number;

/**
 * Object store with conditional writes and watches. A write fails with
 * `storeConflict` only if the store has reported the conflict; after any other
 * failure it is unknown whether the write took effect.
 */
export abstract class ObjectStore {
  private readonly restoreListeners = new Set<RestoreListener>();
  private currentEra = 0;

  /** Newest era of the store that this process knows; 0 before the first response. */
  get era(): number {
    return this.currentEra;
  }

  /**
   * Calls a listener each time the store turns out to have been restored from
   * an older copy. Versions and acknowledged writes of earlier eras are void.
   * Returns a function that unsubscribes the listener.
   */
  onRestored(listener: RestoreListener): () => void {
    this.restoreListeners.add(listener);
    return () => this.restoreListeners.delete(listener);
  }

  /** Reads an object; resolves to undefined if it does not exist. */
  abstract get(
    path: string,
    options?: ReadOptions,
  ): StoreResult<StoredObject | undefined>;
  /** Writes an object if it has the given version; resolves to the new version. */
  abstract put(
    path: string,
    value: string,
    condition: ExpectedVersion,
  ): StoreResult<number>;
  /** Creates an object, or reads the existing one. */
  create(path: string, value: string): StoreResult<CreateResult> {
    return this.put(path, value, 0)
      .map(version => ({created: true, object: {path, version, value}}))
      .orElse(kind =>
        kind === 'storeConflict' ? this.readExisting(path) : errAsync(kind),
      );
  }

  /** Removes an object if it has the given version. */
  abstract remove(path: string, condition: ExpectedVersion): StoreResult<void>;
  /** Lists the objects whose path starts with a prefix. */
  abstract list(
    prefix: string,
    options?: ListOptions,
  ): StoreResult<StoredObject[]>;
  /**
   * Waits until an object has another version than `known`, which may be 0, or
   * the store was restored; resolves to undefined after `waitMs` without either.
   */
  abstract watch(
    path: string,
    known: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined>;
  /** Lists the names of the objects of a kind, as they are in the newest state. */
  abstract listKind(kind: string): StoreResult<KindList>;
  /**
   * Waits until an object of a kind has changed since a revision of the current
   * era, and returns the changes; none after `waitMs` without any. Resolves to
   * undefined if the store no longer has that history.
   */
  abstract watchKind(
    kind: string,
    since: number,
    waitMs: number,
  ): StoreResult<KindChanges | undefined>;
  abstract close(): Promise<void>;

  /** Records the era of a response, 0 if it names none; returns false if the response belongs to an earlier era. */
  protected recordEra(era: number): boolean {
    const previous = this.currentEra;
    if (era <= previous) return era === 0 || era === previous;
    this.currentEra = era;
    if (previous === 0) return true;
    for (const listener of this.restoreListeners) listener(era);
    return true;
  }

  private readExisting(path: string): StoreResult<CreateResult> {
    return this.get(path).andThen(object =>
      object === undefined
        ? errAsync<CreateResult, ErrorKind>('storeUnavailable')
        : okAsync({created: false, object}),
    );
  }
}
