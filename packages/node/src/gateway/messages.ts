/** Messages to the gateway task. */
import type {MemberRecord, QuarantineUpdate} from '@goldcresthill/membership';
import type {ServiceRules} from '@goldcresthill/types';

/** A message that the gateway task handles. */
export type GatewayMessage =
  | {
      readonly type: 'members';
      readonly records: readonly MemberRecord[];
      /** Failure domains that this node cannot reach; their servers are treated as down. */
      readonly cutDomains: readonly string[];
    }
  | {
      readonly type: 'configure';
      readonly rules: ReadonlyMap<string, ServiceRules>;
    }
  | {readonly type: 'news'; readonly news: QuarantineUpdate}
  | {readonly type: 'evict'};
