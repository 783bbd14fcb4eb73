/** Configuration of a node that follows a single object of the store. */
import type {Route} from '@goldcresthill/routes';
import type {ServiceRules} from '@goldcresthill/types';
import type {ListenerLimits} from '../http/listener';

/** Routes, service rules and limits that operators set, at one version. */
export interface SidecarConfig {
  /** Higher in each later configuration. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly rules: ReadonlyMap<string, ServiceRules>;
  /** Limits of callers' requests; the settings apply where one is missing. */
  readonly callerLimits: Partial<ListenerLimits>;
}
