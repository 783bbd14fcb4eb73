/** The presence object of this node, and the list of those of others. */
import {isDeepStrictEqual} from 'node:util';
import {mergeLeavingInstances} from '@goldcresthill/membership';
import type {MemberRecord} from '@goldcresthill/membership';
import type {ErrorKind} from '@goldcresthill/errors';
import type {
  ObjectStore,
  StoreBreaker,
  StoredObject,
} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {NodeAddress} from '@goldcresthill/types';
import type {Result} from 'neverthrow';
import * as z from 'zod';

const PREFIX = 'nodes/';

const presenceSchema = z.object({
  address: z.object({
    nodeId: z.string(),
    bootId: z.number(),
    host: z.string(),
    dataPort: z.number(),
    controlPort: z.number(),
    domain: z.string(),
    region: z.string(),
  }),
  incarnation: z.number(),
  /** Version of the node's record and its servers when this was written. */
  version: z.number().optional(),
  servers: z
    .array(
      z.object({
        service: z.string(),
        port: z.number(),
        slots: z.number(),
        instance: z.string(),
        state: z.enum(['up', 'draining', 'down']),
      }),
    )
    .optional(),
  /** Server processes of this VM that have said that they leave. */
  leaving: z.array(z.string()).optional(),
});

type PresenceValue = z.output<typeof presenceSchema>;

/** What presence starts from. */
export interface PresenceOptions {
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly address: NodeAddress;
  readonly incarnation: number;
  /** Server processes that had said that they leave, as an earlier process of this node has written. */
  readonly onLeaving?: (instances: readonly string[]) => void;
  readonly onPeers: (records: readonly MemberRecord[]) => void;
  /** What this node tells of itself; without it others learn that from messages. */
  readonly ownRecord?: () => Pick<MemberRecord, 'version' | 'servers'>;
  /** A node that starts anew at the same place leaves its object as it is. */
  readonly keepsObject?: boolean;
  /** Only as many others are read as the store lists at once; these know the rest. */
  readonly listsFew?: boolean;
  readonly random?: () => number;
}

const RETRY_MS = 200;
/** Wait before the list is read again, above the time by which it may be behind, milliseconds. */
const LIST_AGAIN_MS = 3_500;
/** Share by which that wait is spread. */
const SPREAD_SHARE = 0.4;
/** Nodes among which one is found that lives and knows the rest. */
const ENOUGH_PEERS = 8;

/** Writes presence once, reads the others once, and removes its own at the end. */
export class Presence {
  private version: number | undefined;
  private timer: Cancel | undefined;
  private closed = false;
  private listed = false;
  private isAlone = true;
  private again: Cancel | undefined;
  private leaving: readonly string[] = [];

  constructor(private readonly options: PresenceOptions) {}

  /** Writes and reads, again and again until both have been done. */
  async start(): Promise<void> {
    const {breaker, timers} = this.options;
    if (this.closed) return;
    if (breaker.allows(timers.now())) await this.attempt();
    if (this.version === undefined || !this.listed) this.retryLater();
  }

  /** Writes that a server process leaves; false if that could not be written now. */
  async noteLeaving(instance: string): Promise<boolean> {
    if (this.leaving.includes(instance)) return true;
    this.leaving = mergeLeavingInstances(this.leaving, [instance]);
    const written = await this.replace();
    // It is owed: a process that starts after this one has to find it.
    if (!written) this.retryLater();
    return written;
  }

  /** Removes the presence of this node, if it was written. */
  async remove(): Promise<void> {
    this.close();
    if (this.version === undefined) return;
    await this.options.store.remove(
      this.path(this.options.address.nodeId),
      this.version,
    );
  }

  /** Removes the presence of another node that died, unless it has come back. */
  async removeDead(dead: NodeAddress): Promise<void> {
    const {store, keepsObject = false} = this.options;
    const found = await store.get(this.path(dead.nodeId));
    if (found.isErr() || found.value === undefined) return;
    const value = readPresence(found.value.value);
    // An object that was kept may name an earlier process than the one that died.
    if (!keepsObject && value?.address.bootId !== dead.bootId) return;
    await store.remove(this.path(dead.nodeId), found.value.version);
  }

  close(): void {
    this.closed = true;
    this.timer?.();
    this.again?.();
  }

  private retryLater(): void {
    const {breaker, timers} = this.options;
    const waitMs = Math.max(RETRY_MS, breaker.waitMs(timers.now()));
    this.timer?.();
    this.timer = timers.after(waitMs, () => void this.start());
  }

  private async attempt(): Promise<void> {
    const {breaker, timers} = this.options;
    const written = this.version !== undefined || (await this.write());
    const listed = this.listed || (await this.list());
    if (written && listed) breaker.succeed();
    else breaker.fail(timers.now());
  }

  // Most nodes start for the first time, so that a write alone does.
  private async write(): Promise<boolean> {
    const {store, address} = this.options;
    const path = this.path(address.nodeId);
    const creation = await store.create(path, this.value());
    if (creation.isErr()) return false;
    const {created, object} = creation.value;
    if (!created) return this.takeOver(object);
    this.version = object.version;
    this.options.onLeaving?.([]);
    return true;
  }

  private async readAgain(): Promise<boolean> {
    const {store, address} = this.options;
    const found = await store.get(this.path(address.nodeId));
    return found.isOk() && this.takeOver(found.value);
  }

  // An earlier process of this node has written the object.
  private async takeOver(found: StoredObject | undefined): Promise<boolean> {
    const {address, keepsObject = false} = this.options;
    const version = found?.version ?? 0;
    const previous = readPresence(found?.value ?? '');
    const told = previous?.leaving ?? [];
    this.leaving = mergeLeavingInstances(told, this.leaving);
    this.options.onLeaving?.(this.leaving);
    const isTold = this.leaving.every(instance => told.includes(instance));
    if (keepsObject && isTold && isSamePlace(previous?.address, address)) {
      this.version = version;
      return true;
    }
    return (await this.put(version)).isOk();
  }

  private async replace(): Promise<boolean> {
    const {version} = this;
    if (version !== undefined && (await this.put(version)).isOk()) return true;
    this.version = undefined;
    return this.readAgain();
  }

  private async put(condition: number): Promise<Result<number, ErrorKind>> {
    const {store, address} = this.options;
    const path = this.path(address.nodeId);
    const put = await store.put(path, this.value(), condition);
    if (put.isOk()) this.version = put.value;
    return put;
  }

  private value(): string {
    const {address, incarnation, ownRecord} = this.options;
    const {leaving} = this;
    return JSON.stringify({address, incarnation, ...ownRecord?.(), leaving});
  }

  private async list(): Promise<boolean> {
    const {store, onPeers, address, listsFew = false} = this.options;
    const found = await (listsFew
      ? this.listNext()
      : store.list(PREFIX, {stale: true}));
    if (found.isErr()) return false;
    const isFirst = !this.listed;
    this.listed = true;
    const values = found.value.flatMap(
      object => readPresence(object.value) ?? [],
    );
    const others = values.filter(v => v.address.nodeId !== address.nodeId);
    this.isAlone = others.length === 0;
    onPeers(others.map(toRecord));
    if (isFirst || this.isAlone) this.listAgainLater();
    return true;
  }

  // Nodes that start together do not find each other in a list that is seconds behind.
  private listAgainLater(): void {
    const {timers, listsFew = false, random = Math.random} = this.options;
    if (!listsFew) return;
    const delayMs = LIST_AGAIN_MS * (1 + SPREAD_SHARE * random());
    this.again?.();
    this.again = timers.after(delayMs, () => {
      void this.listAgain();
    });
  }

  private async listAgain(): Promise<void> {
    if (this.closed || (await this.list())) return;
    this.listAgainLater();
  }

  // Names often tell the domain, so that those that follow the own one are near. The last are followed by the first.
  private async listNext(): Promise<Result<StoredObject[], ErrorKind>> {
    const {store, address} = this.options;
    const few = {stale: true, onePage: true};
    const next = await store.list(PREFIX, {...few, after: address.nodeId});
    if (next.isErr() || next.value.length >= ENOUGH_PEERS) return next;
    const first = await store.list(PREFIX, few);
    return first.map(objects => [...next.value, ...objects]);
  }

  private path(nodeId: string): string {
    return PREFIX + nodeId;
  }
}

function readPresence(text: string): PresenceValue | undefined {
  try {
    return presenceSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}

// The same as a node's own first record, which is then no news.
function toRecord(value: PresenceValue): MemberRecord {
  const {address, incarnation, version = 1, servers = [], leaving} = value;
  return {address, incarnation, version, status: 'alive', servers, leaving};
}

function isSamePlace(a: NodeAddress | undefined, b: NodeAddress): boolean {
  return (
    a !== undefined && isDeepStrictEqual({...a, bootId: 0}, {...b, bootId: 0})
  );
}
