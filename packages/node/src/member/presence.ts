/** The presence object of this node, and the list of those of others. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {ObjectStore, StoreBreaker} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {NodeAddress} from '@goldcresthill/types';
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
}

const RETRY_MS = 200;
/** Server processes of one VM that are remembered; more than end within the time that reports can be late. */
const MAX_LEAVING = 8;

/** Writes presence once, reads the others once, and removes its own at the end. */
export class Presence {
  private version: number | undefined;
  private timer: Cancel | undefined;
  private closed = false;
  private listed = false;
  private leaving: readonly string[] = [];

  constructor(private readonly options: PresenceOptions) {}

  /** Writes and reads, again and again until both have been done. */
  async start(): Promise<void> {
    const {breaker, timers} = this.options;
    if (this.closed) return;
    if (breaker.allows(timers.now())) await this.attempt();
    if (this.version !== undefined && this.listed) return;
    const waitMs = Math.max(RETRY_MS, breaker.waitMs(timers.now()));
    this.timer = timers.after(waitMs, () => void this.start());
  }

  /** Writes that a server process leaves; false if that could not be written now. */
  async noteLeaving(instance: string): Promise<boolean> {
    if (this.leaving.includes(instance)) return true;
    this.leaving = [...this.leaving, instance].slice(-MAX_LEAVING);
    return this.write();
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
    const {store} = this.options;
    const found = await store.get(this.path(dead.nodeId));
    if (found.isErr() || found.value === undefined) return;
    const value = readPresence(found.value.value);
    if (value?.address.bootId !== dead.bootId) return;
    await store.remove(this.path(dead.nodeId), found.value.version);
  }

  close(): void {
    this.closed = true;
    this.timer?.();
  }

  private async attempt(): Promise<void> {
    const {breaker, timers} = this.options;
    const written = this.version !== undefined || (await this.write());
    const listed = this.listed || (await this.list());
    if (written && listed) breaker.succeed();
    else breaker.fail(timers.now());
  }

  private async write(): Promise<boolean> {
    const {store, address, incarnation} = this.options;
    const path = this.path(address.nodeId);
    const found = await store.get(path);
    if (found.isErr()) return false;
    this.takePrevious(found.value?.value);
    const {leaving} = this;
    const value = JSON.stringify({address, incarnation, leaving});
    const put = await store.put(path, value, found.value?.version ?? 0);
    if (put.isErr()) return false;
    this.version = put.value;
    return true;
  }

  private takePrevious(text: string | undefined): void {
    const previous = text === undefined ? undefined : readPresence(text);
    const {leaving} = this;
    const more = (previous?.leaving ?? []).filter(i => !leaving.includes(i));
    this.leaving = [...more, ...leaving].slice(-MAX_LEAVING);
    this.options.onLeaving?.(this.leaving);
  }

  private async list(): Promise<boolean> {
    const {store, onPeers, address} = this.options;
    const found = await store.list(PREFIX);
    if (found.isErr()) return false;
    this.listed = true;
    const values = found.value.flatMap(
      object => readPresence(object.value) ?? [],
    );
    onPeers(
      values.filter(v => v.address.nodeId !== address.nodeId).map(toRecord),
    );
    return true;
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
function toRecord({address, incarnation}: PresenceValue): MemberRecord {
  return {address, incarnation, version: 1, status: 'alive', servers: []};
}
