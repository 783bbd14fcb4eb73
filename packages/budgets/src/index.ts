/** Budgets that are never exceeded: each grant is asserted against its bound. */
export {TokenBucket} from './token_bucket';
export type {TokenBucketOptions} from './token_bucket';
export {WindowBudget} from './window_budget';
export type {WindowBudgetOptions} from './window_budget';
