/** Options of the membership aggregate and the commands that it returns. */
import type {NodeAddress} from '@goldcresthill/types';
import type {ExchangeMessage, QuarantineUpdate} from './exchange_message';
import type {MemberStatus} from './member_record';

/** I/O to perform, or a change to act on, returned to the owner of the sockets. */
export type MemberCommand =
  | {
      readonly type: 'exchange';
      readonly to: NodeAddress;
      readonly message: ExchangeMessage;
    }
  | {
      readonly type: 'probeFor';
      readonly target: NodeAddress;
      readonly message: ExchangeMessage;
      readonly origin: string;
    }
  | {readonly type: 'membersChanged'}
  | {
      readonly type: 'statusChanged';
      readonly nodeId: string;
      readonly status: MemberStatus;
      readonly reason: string;
    }
  | {readonly type: 'news'; readonly news: QuarantineUpdate}
  /** Server processes of this VM are leaving, as an earlier process of this node announced. */
  | {readonly type: 'leaving'; readonly instances: readonly string[]}
  /** A peer knows a newer era of the store: it was restored from an older copy. */
  | {readonly type: 'storeRestored'; readonly era: number}
  | {
      readonly type: 'fetchConfig';
      readonly from: NodeAddress;
      readonly revision: number;
    };

export interface MembershipOptions {
  readonly self: NodeAddress;
  readonly incarnation: number;
  readonly random: () => number;
  readonly roundMs?: number;
  readonly suspicionMs?: number;
  readonly bytesPerSecond?: number;
  /** Largest message, bytes. */
  readonly maxMessageBytes?: number;
  /** Number of nodes that this node monitors in its own failure domain. */
  readonly successors?: number;
  /** If false, an unreachable domain is treated as the death of each of its nodes. */
  readonly cutDetection?: boolean;
}
