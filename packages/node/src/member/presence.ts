/** Presence objects in the store, by which nodes that start find each other. */
import {isDeepStrictEqual} from 'node:util';
import {isValidRecord, mergeLeavingInstances} from '@goldcresthill/membership';
import type {MemberRecord} from '@goldcresthill/membership';
import {runGuarded} from '@goldcresthill/errors';
import type {ErrorKind, FaultListener} from '@goldcresthill/errors';
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
  /** Version of the node's membership record, and its servers, at the time of the write. */
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
  /** Server processes of this VM that announced that they are leaving. */
  leaving: z.array(z.string()).optional(),
});

type PresenceValue = z.output<typeof presenceSchema>;

/** Options of Presence. */
export interface PresenceOptions {
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly address: NodeAddress;
  readonly incarnation: number;
  /** Server processes that announced that they are leaving, as an earlier process of this node wrote; none if it wrote none. */
  readonly onLeavingInstances?: (instances: readonly string[]) => void;
  readonly onPeers: (records: readonly MemberRecord[]) => void;
  /** The object of this node is known to be in the store with this version. */
  readonly onWritten?: (objectVersion: number) => void;
  /** Version and servers to write into the object; without them, other nodes receive both by gossip only. */
  readonly ownRecord?: () => Pick<MemberRecord, 'version' | 'servers'>;
  /** Whether a restarted node keeps its existing object unchanged if only the boot id differs. */
  readonly reusesObject?: boolean;
  /** Whether only single pages of the list are read, because the nodes on them know the others. */
  readonly listsOnePage?: boolean;
  /** Whether a message of another node has been received; without one, the list is read again, as all listed peers may be dead. */
  readonly hasContact?: () => boolean;
  readonly random?: () => number;
  readonly onFault: FaultListener;
}

const RETRY_DELAY_MS = 200;
/** Delay before the list is read again, milliseconds; longer than the time by which lists may be out of date. */
const RELIST_DELAY_MS = 3_500;
/** Largest random addition to that delay, as a fraction of it. */
const JITTER_FRACTION = 0.4;
/** Listed peers that suffice to find one that is alive and knows the others. */
const MIN_LISTED_PEERS = 8;

/** Writes the node's presence object, lists those of its peers, and removes objects of nodes that have left or died. */
export class Presence {
  private objectVersion: number | undefined;
  private cancelRetry: Cancel | undefined;
  private closed = false;
  private hasListed = false;
  /** Era of the store in which the object is known to be. */
  private writtenEra = 0;
  private cancelRestore: Cancel | undefined;
  private cancelRelist: Cancel | undefined;
  private leaving: readonly string[] = [];

  constructor(private readonly options: PresenceOptions) {}

  /** Writes the object and lists the others; what fails is retried with backoff. Resolves after the first try. */
  async start(): Promise<void> {
    const {breaker, timers} = this.options;
    if (this.closed) return;
    if (breaker.allows(timers.now())) await this.writeAndList();
    if (this.objectVersion === undefined || !this.hasListed)
      this.scheduleRetry();
  }

  /**
   * Writes that a server process is leaving; resolves to false if the write failed
   * and will be retried. A repeated call for the same process does not write again
   * and resolves to true.
   */
  async persistLeaving(instance: string): Promise<boolean> {
    if (this.leaving.includes(instance)) return true;
    this.leaving = mergeLeavingInstances(this.leaving, [instance]);
    const written = await this.rewrite();
    // The write must not be lost, because the next process of this node relies on it.
    if (!written) this.scheduleRetry();
    return written;
  }

  /**
   * Writes the object again if it may be missing in an era of the store, after
   * a random delay of at most `spreadMs` milliseconds.
   */
  ensureWritten(era: number, spreadMs: number): void {
    const {timers, random = Math.random} = this.options;
    if (this.closed || this.writtenEra === 0) return;
    this.cancelRestore?.();
    this.cancelRestore = timers.after(spreadMs * random(), () => {
      if (!this.closed && this.writtenEra < era)
        this.runDetached(() => this.restore());
    });
  }

  /** Removes the presence object of this node, if it was written. */
  async remove(): Promise<void> {
    this.close();
    if (this.objectVersion === undefined) return;
    await this.options.store.remove(
      this.pathOf(this.options.address.nodeId),
      this.objectVersion,
    );
  }

  /** Removes the presence object of another node that died, unless the node has written a new one since. */
  async removeDead(dead: NodeAddress): Promise<void> {
    const {store, reusesObject = false} = this.options;
    const found = await store.get(this.pathOf(dead.nodeId));
    if (found.isErr() || found.value === undefined) return;
    const value = parsePresence(found.value.value);
    // Not compared for reused objects, which may hold the boot id of an earlier process than the one that died.
    if (!reusesObject && value?.address.bootId !== dead.bootId) return;
    await store.remove(this.pathOf(dead.nodeId), found.value.version);
  }

  close(): void {
    this.closed = true;
    this.cancelRetry?.();
    this.cancelRelist?.();
    this.cancelRestore?.();
  }

  private runDetached(work: () => Promise<void>): void {
    runGuarded(this.options.onFault, work);
  }

  private scheduleRetry(): void {
    const {breaker, timers} = this.options;
    const waitMs = Math.max(RETRY_DELAY_MS, breaker.waitMs(timers.now()));
    this.cancelRetry?.();
    this.cancelRetry = timers.after(waitMs, () =>
      this.runDetached(() => this.start()),
    );
  }

  private async writeAndList(): Promise<void> {
    const {breaker, timers} = this.options;
    const written = this.objectVersion !== undefined || (await this.write());
    const listed = this.hasListed || (await this.list());
    if (written && listed) breaker.succeed();
    else breaker.fail(timers.now());
  }

  // Most nodes start for the first time, so creating the object without reading it usually succeeds.
  private async write(): Promise<boolean> {
    const {store, address} = this.options;
    const path = this.pathOf(address.nodeId);
    const creation = await store.create(path, this.encode());
    if (creation.isErr()) return false;
    const {created, object} = creation.value;
    if (!created) return this.adoptExisting(object);
    this.recordWritten(object.version);
    this.options.onLeavingInstances?.([]);
    return true;
  }

  private async readAndAdopt(): Promise<boolean> {
    const {store, address} = this.options;
    const found = await store.get(this.pathOf(address.nodeId));
    return found.isOk() && this.adoptExisting(found.value);
  }

  // Continues with the object of an earlier process of this node, and rewrites it if it is not up to date.
  private async adoptExisting(
    found: StoredObject | undefined,
  ): Promise<boolean> {
    const {address, reusesObject = false} = this.options;
    const version = found?.version ?? 0;
    const previous = parsePresence(found?.value ?? '');
    const writtenLeaving = previous?.leaving ?? [];
    this.leaving = mergeLeavingInstances(writtenLeaving, this.leaving);
    this.options.onLeavingInstances?.(this.leaving);
    const isLeavingWritten = this.leaving.every(instance =>
      writtenLeaving.includes(instance),
    );
    if (
      reusesObject &&
      isLeavingWritten &&
      isSameExceptBootId(previous?.address, address)
    ) {
      this.recordWritten(version);
      return true;
    }
    return (await this.put(version)).isOk();
  }

  // The object is read first because most objects are older than the copy from which the store was restored.
  private async restore(): Promise<void> {
    this.objectVersion = undefined;
    if (!(await this.readAndAdopt())) this.scheduleRetry();
  }

  private async rewrite(): Promise<boolean> {
    const {objectVersion: version} = this;
    if (version !== undefined && (await this.put(version)).isOk()) return true;
    this.objectVersion = undefined;
    return this.readAndAdopt();
  }

  private async put(
    expectedVersion: number,
  ): Promise<Result<number, ErrorKind>> {
    const {store, address} = this.options;
    const path = this.pathOf(address.nodeId);
    const put = await store.put(path, this.encode(), expectedVersion);
    if (put.isOk()) this.recordWritten(put.value);
    return put;
  }

  private recordWritten(objectVersion: number): void {
    this.objectVersion = objectVersion;
    this.writtenEra = this.options.store.era;
    this.options.onWritten?.(objectVersion);
  }

  private encode(): string {
    const {address, incarnation, ownRecord} = this.options;
    const {leaving} = this;
    return JSON.stringify({address, incarnation, ...ownRecord?.(), leaving});
  }

  private async list(): Promise<boolean> {
    const {
      store,
      onPeers,
      address,
      listsOnePage = false,
      hasContact = () => true,
    } = this.options;
    const found = await (listsOnePage
      ? this.listNearby()
      : store.list(PREFIX, {stale: true}));
    if (found.isErr()) return false;
    const isFirst = !this.hasListed;
    this.hasListed = true;
    const values = found.value.flatMap(
      object => parsePresence(object.value) ?? [],
    );
    const others = values.filter(v => v.address.nodeId !== address.nodeId);
    onPeers(others.map(toMemberRecord));
    const isAlone = others.length === 0 || !hasContact();
    if (isFirst || isAlone) this.scheduleRelist();
    return true;
  }

  // Nodes that start at the same time do not find each other in a list that is seconds out of date.
  private scheduleRelist(): void {
    const {timers, listsOnePage = false, random = Math.random} = this.options;
    if (!listsOnePage) return;
    const delayMs = RELIST_DELAY_MS * (1 + JITTER_FRACTION * random());
    this.cancelRelist?.();
    this.cancelRelist = timers.after(delayMs, () => {
      this.runDetached(() => this.relist());
    });
  }

  private async relist(): Promise<void> {
    if (this.closed || (await this.list())) return;
    this.scheduleRelist();
  }

  // Lists the names after this node's own and wraps around at the end: names often start with the domain, so these nodes are likely in the same one.
  private async listNearby(): Promise<Result<StoredObject[], ErrorKind>> {
    const {store, address} = this.options;
    const pageOptions = {stale: true, onePage: true};
    const next = await store.list(PREFIX, {
      ...pageOptions,
      after: address.nodeId,
    });
    if (next.isErr() || next.value.length >= MIN_LISTED_PEERS) return next;
    const first = await store.list(PREFIX, pageOptions);
    return first.map(objects => [...next.value, ...objects]);
  }

  private pathOf(nodeId: string): string {
    return PREFIX + nodeId;
  }
}

function parsePresence(text: string): PresenceValue | undefined {
  try {
    const value = presenceSchema.parse(JSON.parse(text));
    return isValidRecord(toMemberRecord(value)) ? value : undefined;
  } catch {
    return undefined;
  }
}

// With version 1 by default, the record equals the node's first own record, which is then not gossiped as a change.
function toMemberRecord(value: PresenceValue): MemberRecord {
  const {address, incarnation, version = 1, servers = [], leaving} = value;
  return {address, incarnation, version, status: 'alive', servers, leaving};
}

function isSameExceptBootId(
  a: NodeAddress | undefined,
  b: NodeAddress,
): boolean {
  return (
    a !== undefined && isDeepStrictEqual({...a, bootId: 0}, {...b, bootId: 0})
  );
}
