/** Rate caps of client accounts over the whole fleet: allocators, gateways' tokens and the list of allocators. */
export {QuotaTerms} from './quota_terms';
export type {AccountCap, QuotaBounds} from './quota_terms';
export {QuotaAllocator, UNAVAILABLE_RETRY_MS} from './quota_allocator';
export type {
  AssignmentProof,
  QuotaAllocatorOptions,
  TokenGrant,
  TokenRequest,
} from './quota_allocator';
export {QuotaAccount} from './quota_account';
export type {
  QuotaCommand,
  QuotaOutcome,
  QuotaAccountOptions,
} from './quota_account';
export {
  allocatorOf,
  decodeAllocatorList,
  encodeAllocatorList,
} from './allocator_list';
export type {AllocatorList} from './allocator_list';
export {AllocatorPlanner} from './allocator_planner';
export type {AllocatorPlannerOptions, FleetView} from './allocator_planner';
export {RetrySchedule} from './retry_schedule';
