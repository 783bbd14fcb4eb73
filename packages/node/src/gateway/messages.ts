/** Messages to the gateway task. */
import type {MemberRecord, QuarantineUpdate} from '@goldcresthill/membership';
import type {ServiceRules} from '@goldcresthill/types';
import type {Evacuations} from './server_endpoints';

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
  /** Failure domains whose servers get no requests from now on. */
  | {readonly type: 'evacuate'; readonly evacuations: Evacuations}
  | {readonly type: 'news'; readonly news: QuarantineUpdate}
  | {readonly type: 'evict'};
