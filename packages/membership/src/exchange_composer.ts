/** Selects the content of outgoing gossip messages. */
import type {NodeAddress} from '@goldcresthill/types';
import {
  BASE_BYTES,
  BYTES_PER_BUCKET,
  UPDATE_BYTES,
  recordBytes,
} from './exchange_message';
import type {ExchangeMessage, QuarantineUpdate} from './exchange_message';
import type {MemberRecord} from './member_record';
import {BUCKETS} from './member_table';
import type {MemberTable} from './member_table';
import {RumorQueue} from './rumor_queue';

/** Number of messages that carry the same queued item. */
const MAX_SENDS = 4;
/** Bytes of one message, unless given. */
const DEFAULT_MAX_MESSAGE_BYTES = 4_096;
/** Records queued for gossip; when more change at once, comparing tables costs less. */
const MAX_QUEUED_RECORDS = 64;
/** Largest part of a message that quarantine updates may take, bytes. */
const UPDATES_BUDGET_BYTES = 1_024;

export interface ExchangeComposerOptions {
  readonly random: () => number;
  /** Largest message, bytes. */
  readonly maxMessageBytes?: number;
}

/** Values that go into each message besides queued gossip, and its size limit. */
export interface MessageContext {
  readonly self: NodeAddress;
  readonly configRevision: number;
  readonly storeEra: number;
  /** Bytes that the budget allows. */
  readonly bytesLeft: number;
}

/** Composes messages: queued gossip first, then records that a peer's digests show as differing. */
export class ExchangeComposer {
  private readonly recordQueue = new RumorQueue<MemberRecord>(
    MAX_QUEUED_RECORDS,
  );
  private readonly updateQueue = new RumorQueue<QuarantineUpdate>();
  private readonly divergedPeers = new Set<string>();
  /** Peers that are to be sent their own record. */
  private readonly ownRecordDue = new Set<string>();
  /** Bucket hashes of peers whose tables differ, until the next message to them. */
  private readonly peerBuckets = new Map<string, readonly number[]>();

  constructor(
    private readonly table: MemberTable,
    private readonly options: ExchangeComposerOptions,
  ) {}

  /** Whether anything queued is still to be sent. */
  get hasQueuedGossip(): boolean {
    return this.recordQueue.size > 0 || this.updateQueue.size > 0;
  }

  queueRecord(record: MemberRecord): void {
    this.recordQueue.add(record.address.nodeId, record);
  }

  queueUpdate(update: QuarantineUpdate): void {
    const instance = update.type === 'strike' ? update.instance : '';
    this.updateQueue.add(
      `${update.type}:${update.fingerprint}:${instance}`,
      update,
    );
  }

  /** Includes a peer's own record in the next message to that peer. */
  queueOwnRecordFor(peer: string): void {
    this.ownRecordDue.add(peer);
  }

  hasOwnRecordFor(peer: string): boolean {
    return this.ownRecordDue.has(peer);
  }

  /** Records whether the sender's table differs from this node's, and in which buckets. */
  compareDigests(message: ExchangeMessage): void {
    const peer = message.from.nodeId;
    if (message.digest === this.table.digest) this.divergedPeers.delete(peer);
    else this.divergedPeers.add(peer);
    if (message.buckets.length === BUCKETS) {
      this.peerBuckets.set(peer, message.buckets);
    }
  }

  /** Composes the next message to a peer and marks its content as sent. */
  compose(peer: string, context: MessageContext): ExchangeMessage {
    const {maxMessageBytes = DEFAULT_MAX_MESSAGE_BYTES} = this.options;
    let room = Math.min(maxMessageBytes, context.bytesLeft) - BASE_BYTES;
    const updatesRoom = Math.min(room, UPDATES_BUDGET_BYTES);
    const news = this.updateQueue.take(
      MAX_SENDS,
      updatesRoom,
      () => UPDATE_BYTES,
    );
    room -= news.length * UPDATE_BYTES;
    const differs = this.divergedPeers.has(peer);
    const sendBuckets = differs && room > BUCKETS * BYTES_PER_BUCKET;
    if (sendBuckets) room -= BUCKETS * BYTES_PER_BUCKET;
    const ownRecord = this.takeOwnRecord(peer);
    room -= ownRecord.reduce((sum, record) => sum + recordBytes(record), 0);
    const records = this.recordQueue.take(
      MAX_SENDS,
      Math.max(0, room),
      recordBytes,
    );
    room -= records.reduce((sum, record) => sum + recordBytes(record), 0);
    records.push(...ownRecord, ...this.divergentRecords(peer, room));
    return {
      from: context.self,
      records,
      news,
      digest: this.table.digest,
      buckets: sendBuckets ? [...this.table.bucketDigests] : [],
      configRevision: context.configRevision,
      storeEra: context.storeEra,
      probeTarget: undefined,
      probeReached: false,
    };
  }

  private takeOwnRecord(peer: string): MemberRecord[] {
    const record = this.ownRecordDue.delete(peer)
      ? this.table.get(peer)
      : undefined;
    return record === undefined ? [] : [record];
  }

  /** Records of the buckets in which a peer's table differs, as many as there is room for. */
  private divergentRecords(peer: string, room: number): MemberRecord[] {
    const digests = this.peerBuckets.get(peer);
    if (digests === undefined) return [];
    this.peerBuckets.delete(peer);
    const candidates = this.table.bucketDigests.flatMap((digest, bucket) =>
      digests[bucket] === digest ? [] : this.table.inBucket(bucket),
    );
    // A random start, as a bucket may have more records than fit into one message.
    const start = Math.floor(this.options.random() * candidates.length);
    const records: MemberRecord[] = [];
    let left = room;
    for (const record of [
      ...candidates.slice(start),
      ...candidates.slice(0, start),
    ]) {
      left -= recordBytes(record);
      if (left < 0) return records;
      records.push(record);
    }
    return records;
  }
}
