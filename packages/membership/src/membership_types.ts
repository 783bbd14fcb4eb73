/** What membership starts from, and what it commands. */
import type {NodeAddress} from '@goldcresthill/types';
import type {ExchangeMessage, QuarantineUpdate} from './exchange_message';
import type {MemberStatus} from './member_record';

/** What the owner of the sockets is to do. */
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
  /** Server processes of this VM leave, as an earlier process of this node had told. */
  | {readonly type: 'leaving'; readonly instances: readonly string[]}
  | {
      readonly type: 'fetchConfig';
      readonly from: NodeAddress;
      readonly revision: number;
    };

/** What membership starts from. */
export interface MembershipOptions {
  readonly self: NodeAddress;
  readonly incarnation: number;
  readonly random: () => number;
  readonly roundMs?: number;
  readonly suspicionMs?: number;
  readonly bytesPerSecond?: number;
  /** Largest message, bytes. */
  readonly maxMessageBytes?: number;
  /** Nodes watched in the own domain. */
  readonly successors?: number;
  /** Off: a lost domain is taken for that many deaths. */
  readonly cutDetection?: boolean;
}
