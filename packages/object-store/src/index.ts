/** Interface of the platform's object store, with a rate limit and a circuit breaker. */
export {ObjectStore} from './object_store';
export type {
  CreateResult,
  KindChanges,
  KindList,
  ListOptions,
  ReadOptions,
  RestoreListener,
  StoredObject,
  StoreResult,
  ExpectedVersion,
} from './object_store';
export {BudgetedStore} from './budgeted_store';
export type {BudgetedStoreOptions} from './budgeted_store';
export {StoreBreaker} from './store_breaker';
export type {StoreBreakerOptions} from './store_breaker';
