/** Configuration of a node that follows a single object of the store. */
import type {AccountDirectory} from '@goldcresthill/accounts';
import type {Route} from '@goldcresthill/routes';
import type {ServiceRules} from '@goldcresthill/types';
import type {ListenerLimits} from '../http/listener';

/** Client accounts of a configuration. */
export interface ConfiguredAccounts {
  /** Undefined if the list of accounts cannot be read. */
  readonly directory: AccountDirectory | undefined;
}

/** Routes, service rules and limits that operators set, at one version. */
export interface SidecarConfig {
  /** Higher in each later configuration. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly rules: ReadonlyMap<string, ServiceRules>;
  /** Client accounts; undefined if the deployment has none. */
  readonly accounts?: ConfiguredAccounts;
  /** Limits of callers' requests; the settings apply where one is missing. */
  readonly callerLimits: Partial<ListenerLimits>;
}
