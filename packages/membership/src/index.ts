/** Gossip-based membership: node records, failure detection and dissemination. */
export {Membership} from './membership';
export type {MemberCommand, MembershipOptions} from './membership_types';
export {messageBytes, recordBytes} from './exchange_message';
export type {ExchangeMessage, QuarantineUpdate} from './exchange_message';
export {
  compareRecords,
  isTombstone,
  isNewer,
  mergeLeavingInstances,
  recordHash,
} from './member_record';
export type {MemberRecord, MemberStatus} from './member_record';
export {isValidAddress, isValidRecord} from './record_validation';
export {MemberTable, BUCKETS} from './member_table';
export {DomainContacts} from './domain_contacts';
export {successorsOf} from './successors';
export {RumorQueue} from './rumor_queue';
export {isMostlySuspect} from './cut_detector';
export {ownerOf, standbyRankOf, watchersOf} from './rendezvous';
export {WatchDuty} from './watch_duty';
export type {Confirmation, WatchDutyOptions} from './watch_duty';
export {EvacuationState} from './evacuation_state';
export type {EvacuationList, EvacuationNotice} from './evacuation_state';
