/** What two nodes tell each other, and how many bytes it takes. */
import type {Clearance, Strike} from '@goldcresthill/quarantine';
import type {NodeAddress} from '@goldcresthill/types';
import type {MemberRecord} from './member_record';

/** News besides member records. */
export type QuarantineUpdate =
  | ({readonly type: 'strike'} & Strike)
  | ({readonly type: 'clearance'} & Clearance);

/** What two nodes tell each other; the answer to a message is a message. */
export interface ExchangeMessage {
  readonly from: NodeAddress;
  readonly records: readonly MemberRecord[];
  readonly news: readonly QuarantineUpdate[];
  /** Hash of the sender's whole table. */
  readonly digest: number;
  /** Hashes of the table's parts, once the whole is known to differ. */
  readonly buckets: readonly number[];
  readonly configRevision: number;
  /** Asks the receiver whether it can reach this node. */
  readonly probeTarget: string | undefined;
  /** Answer to such a question. */
  readonly probeReached: boolean;
}

/** Bytes of a message without records, about. */
export const BASE_BYTES = 120;
export const BYTES_PER_BUCKET = 4;
export const UPDATE_BYTES = 80;
const BYTES_PER_SERVER = 48;

/** Bytes that a record takes in a message, about. */
export function recordBytes(record: MemberRecord): number {
  return BASE_BYTES + record.servers.length * BYTES_PER_SERVER;
}

/** Bytes that a message takes, about. */
export function messageBytes(message: ExchangeMessage): number {
  const records = message.records.reduce((sum, r) => sum + recordBytes(r), 0);
  return (
    BASE_BYTES +
    records +
    message.buckets.length * BYTES_PER_BUCKET +
    message.news.length * UPDATE_BYTES
  );
}
