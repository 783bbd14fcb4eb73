/** Budgets that are never exceeded: an invariant checks each grant against its bound. */
export {TokenBucket} from './token_bucket';
export type {TokenBucketOptions} from './token_bucket';
export {WindowBudget} from './window_budget';
export type {WindowBudgetOptions} from './window_budget';
export {RetentionBudget} from './retention_budget';
export type {RetentionBudgetOptions, RetentionGrant} from './retention_budget';
