/** Budgets that are never exceeded: each grant is asserted against its bound. */
export {TokenBucket} from './token_bucket';
export type {TokenBucketOptions} from './token_bucket';
export {RatioBudget} from './ratio_budget';
export type {RatioBudgetOptions} from './ratio_budget';
