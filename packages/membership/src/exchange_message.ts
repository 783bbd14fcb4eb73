/** Gossip messages and estimates of their size. */
import type {Clearance, Strike} from '@goldcresthill/quarantine';
import type {NodeAddress} from '@goldcresthill/types';
import type {MemberRecord} from './member_record';

/** Change to the quarantine of crashing requests, disseminated along with member records. */
export type QuarantineUpdate =
  | ({readonly type: 'strike'} & Strike)
  | ({readonly type: 'clearance'} & Clearance);

/** One half of a gossip exchange; the answer has the same form. */
export interface ExchangeMessage {
  readonly from: NodeAddress;
  readonly records: readonly MemberRecord[];
  readonly news: readonly QuarantineUpdate[];
  /** Hash of the sender's whole member table. */
  readonly digest: number;
  /** Hashes of the table's buckets; empty unless the tables are known to differ. */
  readonly buckets: readonly number[];
  readonly configRevision: number;
  /** Newest era of the store that the sender knows; 0 if it knows none. */
  readonly storeEra: number;
  /** Node that the receiver is asked to probe; with `probeReached`, the node that the sender reached on request. */
  readonly probeTarget: string | undefined;
  /** Whether this reports a successful indirect probe of `probeTarget`. */
  readonly probeReached: boolean;
}

/** Approximate size of an empty message, and of a record without servers, bytes. */
export const BASE_BYTES = 120;
export const BYTES_PER_BUCKET = 4;
export const UPDATE_BYTES = 80;
const BYTES_PER_SERVER = 48;

/** Approximate size of a record in a message, bytes. */
export function recordBytes(record: MemberRecord): number {
  return BASE_BYTES + record.servers.length * BYTES_PER_SERVER;
}

/** Approximate size of a message, bytes. */
export function messageBytes(message: ExchangeMessage): number {
  const records = message.records.reduce((sum, r) => sum + recordBytes(r), 0);
  return (
    BASE_BYTES +
    records +
    message.buckets.length * BYTES_PER_BUCKET +
    message.news.length * UPDATE_BYTES
  );
}
