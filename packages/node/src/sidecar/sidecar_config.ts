/** Configuration of a node that follows an object of the store. */
import type {Route} from '@goldcresthill/routes';
import type {ServiceRules} from '@goldcresthill/types';

/** Everything that operators decide, at one version. */
export interface SidecarConfig {
  /** Rises from one configuration to the next. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly rules: ReadonlyMap<string, ServiceRules>;
}
