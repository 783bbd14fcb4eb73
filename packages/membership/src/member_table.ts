/** Table of all member records with an incrementally updated digest. */
import type {Millis} from '@goldcresthill/types';
import type {MemberRecord} from './member_record';
import {
  hashText,
  isTombstone,
  isNewer,
  recordHash,
  withLeavingInstances,
} from './member_record';

/** Number of buckets that the table's digest is split into. */
export const BUCKETS = 64;

interface TableEntry {
  readonly record: MemberRecord;
  readonly changedAt: Millis;
}

/** Keeps the newest record of each node. */
export class MemberTable {
  private readonly entries = new Map<string, TableEntry>();
  private readonly digests = new Array<number>(BUCKETS).fill(0);

  /** Stores a record if it is newer than the one held; returns whether it was. */
  merge(now: Millis, record: MemberRecord): boolean {
    const {nodeId} = record.address;
    const known = this.entries.get(nodeId)?.record;
    if (!isNewer(record, known)) return false;
    if (known !== undefined) this.toggleDigest(known);
    this.toggleDigest(record);
    this.entries.set(nodeId, {
      record: withLeavingInstances(record, known),
      changedAt: now,
    });
    return true;
  }

  get(nodeId: string): MemberRecord | undefined {
    return this.entries.get(nodeId)?.record;
  }

  remove(nodeId: string): void {
    const known = this.entries.get(nodeId);
    if (known === undefined) return;
    this.toggleDigest(known.record);
    this.entries.delete(nodeId);
  }

  records(): MemberRecord[] {
    return [...this.entries.values()].map(entry => entry.record);
  }

  changedAt(nodeId: string): Millis {
    return this.entries.get(nodeId)?.changedAt ?? -Infinity;
  }

  /** Hash of the whole table. */
  get digest(): number {
    return this.digests.reduce((all, one) => (all ^ one) >>> 0, 0);
  }

  /** Hash of each bucket, to find the buckets that differ between two tables. */
  get bucketDigests(): readonly number[] {
    return this.digests;
  }

  inBucket(bucket: number): MemberRecord[] {
    return this.records().filter(r => bucketOf(r.address.nodeId) === bucket);
  }

  get size(): number {
    return this.entries.size;
  }

  // XOR makes the digest independent of order and cheap to update.
  // Tombstones are excluded because nodes expire them at different times.
  private toggleDigest(record: MemberRecord): void {
    if (isTombstone(record)) return;
    const bucket = bucketOf(record.address.nodeId);
    this.digests[bucket] =
      ((this.digests[bucket] ?? 0) ^ recordHash(record)) >>> 0;
  }
}

function bucketOf(nodeId: string): number {
  return hashText(nodeId) % BUCKETS;
}
