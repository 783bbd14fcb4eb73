/** Decides whether a client's request may be served, by its key and by how recent this node's knowledge is. */
import type {Millis} from '@goldcresthill/types';
import type {AccountDirectory, ClientAccount} from './account_directory';

/** What the decision depends on. */
export interface ClientRequest {
  /** Accounts of the configuration in force; undefined if it holds a list of accounts that cannot be read. */
  readonly accounts: AccountDirectory | undefined;
  /** The client's key; undefined if it sent none. */
  readonly key: string | undefined;
  /** Whether the route needs no key. */
  readonly isPublic: boolean;
  /** Whether the configuration in force is proven recent enough to serve requests with a key. */
  readonly isProven: boolean;
  /** Time since the configuration in force is known to have been the newest, milliseconds. */
  readonly confirmedMs: Millis;
  /** Age of that knowledge up to which an unknown key is refused for good, milliseconds. */
  readonly maxConfirmedMs: Millis;
}

/** The decision. */
export type ClientAdmission =
  /** The request is served, on behalf of an account if one is given. */
  | {readonly type: 'admitted'; readonly account: ClientAccount | undefined}
  /** The key is missing or belongs to no account. */
  | {readonly type: 'unknownKey'}
  /** The node's knowledge is too old for a decision, or the accounts cannot be read. */
  | {readonly type: 'undecided'};

/** Decides on a request where the configuration has accounts. */
export function admitClient(request: ClientRequest): ClientAdmission {
  const {accounts, key, confirmedMs, maxConfirmedMs} = request;
  const account = accounts?.find(key);
  if (request.isPublic) return {type: 'admitted', account};
  if (accounts === undefined || !request.isProven) return {type: 'undecided'};
  if (account !== undefined) return {type: 'admitted', account};
  // The key may be new, or the route may have become public.
  const isRecent = confirmedMs <= maxConfirmedMs;
  return isRecent ? {type: 'unknownKey'} : {type: 'undecided'};
}
