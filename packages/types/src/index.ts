/** Types that all packages share: identities, calls, load reports and service rules. */
export type * from './call';
export type * from './server';
export type * from './service';
export {serverId} from './server';
export {DEFAULT_SERVICE_RULES} from './service';
export {InvariantError, invariant, invariantCount} from './invariant';
export {MECHANISMS, withoutMechanisms} from './mechanism';
export type {Mechanism} from './mechanism';
export {isEndpoint} from './endpoint';
export {expectedWorkTime} from './work_time';
