/** Routing of hosts and path prefixes to services, and detection of returning callers. */
export {RouteTable} from './route_table';
export {drawService} from './weighted_draw';
export type {Route, WeightedService} from './route';
export {ReturningCallerDetector} from './returning_caller_detector';
export type {CallerClassification} from './returning_caller_detector';
