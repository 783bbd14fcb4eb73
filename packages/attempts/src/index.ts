/** At-most-once execution: the ledger of a gate, the plan of a call, and claims on idempotency keys. */
export {AttemptLedger} from './ledger';
export type {
  AdmissionDecision,
  LedgerOptions,
  LedgerState,
  Resolution,
} from './ledger';
export {attemptKey, parseAttemptKey} from './attempt_key';
export {CallPlan} from './call_plan';
export type {CallCommand, CallEvent, CallPlanOptions} from './call_plan';
export {
  CLAIM_SHARD_COUNT,
  claimPath,
  isClaimExpired,
  SHARD_SWEEP_INTERVAL_MS,
  shardToSweep,
  shardPrefix,
} from './claim_shards';
export {KeyClaim} from './key_claim';
export type {
  ClaimCommand,
  ClaimEvent,
  ClaimRecord,
  OwnerAnswer,
} from './key_claim';
export {KeyedOutcomes} from './keyed_outcomes';
export type {KeyedOutcomesOptions} from './keyed_outcomes';
