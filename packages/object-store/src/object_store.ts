/** The object API as the rest of the program sees it. */
import type {ErrorKind} from '@goldcresthill/errors';
import {errAsync, okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';

/** An object and the version that the store gave it. Versions only rise. */
export interface StoredObject {
  readonly path: string;
  readonly version: number;
  readonly value: string;
}

/** Outcome of a creation. */
export interface CreateResult {
  readonly created: boolean;
  /** The object as it is now: the one that was there before if it was not created. */
  readonly object: StoredObject;
}

/** How an object is read. */
export interface ReadOptions {
  /** What was true some seconds ago will do, which is cheaper for the store. */
  readonly stale?: boolean;
}

/** Which objects of a prefix are listed. */
export interface ListOptions extends ReadOptions {
  /** Only names behind this one, in the order of names. */
  readonly after?: string;
  /** Only as many as the store gives at once. */
  readonly onePage?: boolean;
}

/** Outcome of a call to the store. */
export type StoreResult<T> = ResultAsync<T, ErrorKind>;

/** Version that an object must have for a write to take effect; 0 means it must not exist. */
export type ExpectedVersion = number;

/**
 * Get, conditional write, list and watch. A write fails with `storeConflict`
 * only if the store said so; any other failure leaves open whether it took
 * effect.
 */
export abstract class ObjectStore {
  /** Reads an object; undefined if there is none. */
  abstract get(
    path: string,
    options?: ReadOptions,
  ): StoreResult<StoredObject | undefined>;
  /** Writes an object if its version is the given one; answers the new version. */
  abstract put(
    path: string,
    value: string,
    condition: ExpectedVersion,
  ): StoreResult<number>;
  /** Creates an object, unless there is one already. */
  create(path: string, value: string): StoreResult<CreateResult> {
    return this.put(path, value, 0)
      .map(version => ({created: true, object: {path, version, value}}))
      .orElse(kind =>
        kind === 'storeConflict' ? this.readExisting(path) : errAsync(kind),
      );
  }

  /** Removes an object if its version is the given one. */
  abstract remove(path: string, condition: ExpectedVersion): StoreResult<void>;
  abstract list(
    prefix: string,
    options?: ListOptions,
  ): StoreResult<StoredObject[]>;
  /** Waits until the object is newer than a version; undefined when the wait ran out. */
  abstract watch(
    path: string,
    after: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined>;
  abstract close(): Promise<void>;

  private readExisting(path: string): StoreResult<CreateResult> {
    return this.get(path).andThen(object =>
      object === undefined
        ? errAsync<CreateResult, ErrorKind>('storeUnavailable')
        : okAsync({created: false, object}),
    );
  }
}
