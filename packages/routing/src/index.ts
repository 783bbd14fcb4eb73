/** Choice of a server for a call: server views, policies, load queries, probes and hedging. */
export {ServiceRouter} from './service_router';
export type {
  PickedServer,
  PickOptions,
  PickResult,
  RouterOptions,
  ServerEndpoint,
} from './service_router';
export {createPolicy} from './policies';
export {RoutingPolicy} from './routing_policy';
export type {PolicyChoice, PolicyContext, Random} from './routing_policy';
export {ExpectedTimePolicy, ALL_SCORING_FEATURES} from './expected_time';
export type {ScoringFeatures} from './expected_time';
export {ServerView} from './server_view';
export {DomainSpill} from './domain_spill';
export type {
  DomainSpillOptions,
  SpillCall,
  SpillDecision,
  SpillReason,
} from './domain_spill';
export {LoadQuery, MAX_REPORT_AGE_MS} from './load_query';
export type {LoadQueryCommand, LoadQueryOptions} from './load_query';
export {LatencyQuantile} from './latency_quantile';
export {ProbePlanner} from './probe_planner';
export {rendezvousSubset} from './rendezvous_subset';
