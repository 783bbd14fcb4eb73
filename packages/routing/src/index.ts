/** Choice of a server for a call: views of servers, policies, probes and hedging. */
export {ServiceRouter} from './service_router';
export type {
  Pick,
  PickOptions,
  PickResult,
  RouterOptions,
  ServerPlace,
} from './service_router';
export {policyOf} from './policies';
export {RoutingPolicy} from './routing_policy';
export type {Choice, PolicyContext, Random} from './routing_policy';
export {ExpectedTimePolicy, DEFAULT_MECHANISMS} from './expected_time';
export type {Mechanisms} from './expected_time';
export {ServerView} from './server_view';
export {Consultation} from './consultation';
export type {ConsultationCommand, ConsultationOptions} from './consultation';
export {LatencyQuantile} from './latency_quantile';
export {ProbePlanner} from './probe_planner';
export {subsetOf} from './subset';
