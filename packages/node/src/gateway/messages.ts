/** Messages to the gateway task. */
import type {MemberRecord, QuarantineUpdate} from '@goldcresthill/membership';
import type {ServiceRules} from '@goldcresthill/types';

/** Messages that the gateway task takes. */
export type GatewayMessage =
  | {
      readonly type: 'members';
      readonly records: readonly MemberRecord[];
      /** Domains whose servers are not to be used for now. */
      readonly cutDomains: readonly string[];
    }
  | {
      readonly type: 'configure';
      readonly rules: ReadonlyMap<string, ServiceRules>;
    }
  | {readonly type: 'news'; readonly news: QuarantineUpdate}
  | {readonly type: 'evict'};
