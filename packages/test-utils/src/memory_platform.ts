/** The platform's object store in memory, with versions, conditional writes, watches and call counts. */
import type {StoredObject} from '@goldcresthill/object-store';

/** Outcome of a conditional write. */
export type WriteOutcome =
  | {readonly type: 'written'; readonly version: number}
  | {readonly type: 'conflict'};

type Watcher = (object: StoredObject) => void;

/** A change of an object, as watches report it. */
export interface StoreEvent {
  /** The new object, or the last one with the version of its removal. */
  readonly object: StoredObject;
  readonly removed: boolean;
}

/** Copy of a store's content, from which it can be restored. */
export interface PlatformCopy {
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly version: number;
}

/** Synchronous object store; versions increase over the whole store, not per object. */
export class MemoryPlatform {
  private objects = new Map<string, StoredObject>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly listeners = new Set<() => void>();
  private history: StoreEvent[] = [];
  /** Changes up to this version are no longer in the history. */
  private compactedVersion = 0;
  private version = 0;
  private currentEra = 1;
  readonly counts = {reads: 0, writes: 0, watches: 0};

  get(path: string): StoredObject | undefined {
    this.counts.reads++;
    return this.objects.get(path);
  }

  /** Writes an object if its version is `condition`; 0 creates it. */
  put(path: string, value: string, condition: number): WriteOutcome {
    this.counts.writes++;
    const current = this.objects.get(path)?.version ?? 0;
    if (current !== condition) return {type: 'conflict'};
    const object = {path, version: ++this.version, value};
    this.objects.set(path, object);
    this.watchers.get(path)?.forEach(watcher => watcher(object));
    this.recordEvent({object, removed: false});
    return {type: 'written', version: object.version};
  }

  /** Removes an object if its version is `condition`; returns undefined if there is none. */
  remove(path: string, condition: number): WriteOutcome | undefined {
    this.counts.writes++;
    const current = this.objects.get(path);
    if (current === undefined) return undefined;
    if (current.version !== condition) return {type: 'conflict'};
    this.objects.delete(path);
    const version = ++this.version;
    this.recordEvent({object: {...current, version}, removed: true});
    return {type: 'written', version};
  }

  list(prefix: string): StoredObject[] {
    this.counts.reads++;
    return [...this.objects.values()].filter(o => o.path.startsWith(prefix));
  }

  /** Version of the latest change. */
  get revision(): number {
    return this.version;
  }

  /** Changes under a prefix after a version, or undefined if the history does not contain that version. */
  eventsAfter(prefix: string, version: number): StoreEvent[] | undefined {
    if (version < this.compactedVersion || version > this.version)
      return undefined;
    return this.history.filter(
      ({object}) => object.version > version && object.path.startsWith(prefix),
    );
  }

  /** Calls a listener on each change; returns a function that unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.counts.watches++;
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Rises with each restore. */
  get era(): number {
    return this.currentEra;
  }

  copy(): PlatformCopy {
    return {objects: new Map(this.objects), version: this.version};
  }

  /** Replaces the content by an older copy. Later changes are lost, and their versions are given out again. Watches stay open. */
  restore({objects, version}: PlatformCopy): void {
    this.objects = new Map(objects);
    this.version = version;
    this.history = this.history.filter(({object}) => object.version <= version);
    this.currentEra++;
  }

  /** Drops the history, as a compaction of the store does. */
  compactHistory(): void {
    this.compactedVersion = this.version;
    this.history = [];
  }

  /** Calls a watcher on each write of a path; returns a function that ends the watch. */
  watch(path: string, watcher: Watcher): () => void {
    this.counts.watches++;
    const pathWatchers = this.watchers.get(path) ?? new Set();
    pathWatchers.add(watcher);
    this.watchers.set(path, pathWatchers);
    return () => pathWatchers.delete(watcher);
  }

  private recordEvent(event: StoreEvent): void {
    this.history.push(event);
    this.listeners.forEach(listener => listener());
  }
}
