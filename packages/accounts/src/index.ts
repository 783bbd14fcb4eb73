/** Client accounts and their API keys. */
export {AccountDirectory} from './account_directory';
export type {AccountEntry, ClientAccount} from './account_directory';
export {admitClient} from './client_admission';
export type {ClientAdmission, ClientRequest} from './client_admission';
export {PriorityLevels} from './priority_levels';
