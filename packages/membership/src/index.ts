/** Members of the fleet: who there is, who can be reached, and how news spreads. */
export {Membership} from './membership';
export type {
  ExchangeMessage,
  MemberCommand,
  MemberNews,
  MembershipOptions,
} from './membership';
export {compareRecords, isNewer, recordHash} from './member_record';
export type {MemberRecord, MemberStatus} from './member_record';
export {MemberTable, BUCKETS} from './member_table';
export {neighboursOf} from './neighbours';
export type {NeighbourCounts} from './neighbours';
export {RumorQueue} from './rumor_queue';
export {isDomainCut} from './cut_detector';
export {watchersOf} from './watchers';
