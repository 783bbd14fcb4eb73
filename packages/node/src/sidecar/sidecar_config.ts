/** Configuration of a node that follows a single object of the store. */
import type {Route} from '@goldcresthill/routes';
import type {ServiceRules} from '@goldcresthill/types';

/** Routes and service rules that operators set, at one version. */
export interface SidecarConfig {
  /** Higher in each later configuration. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly rules: ReadonlyMap<string, ServiceRules>;
}
