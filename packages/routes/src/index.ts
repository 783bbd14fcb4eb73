/** Routes of hosts and path prefixes to services. */
export {RouteTable} from './route_table';
export {drawService} from './weighted_draw';
export type {Route, WeightedService} from './route';
export {CallerPatience} from './caller_patience';
export type {CallerHistory} from './caller_patience';
