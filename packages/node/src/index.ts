/** A node of the load balancer. */
export {Node} from './node';
export {onStopSignal} from './stop_signals';
export type {NodeOptions} from './node';
export type {NodePorts} from './tasks';
export type {NodeStatus} from './operator/status';

/** Parts of a node that also run in virtual time. */
export {CallHandler} from './gateway/call_handler';
export type {
  CallHandle,
  CallHandlerOptions,
  HandledCall,
  HandledOutcome,
} from './gateway/call_handler';
export type {AttemptHandle} from './gateway/call_runner';
export {ClaimSweeper} from './gateway/claim_sweeper';
export type {ClaimSweeperOptions} from './gateway/claim_sweeper';
export type {
  OutgoingCall,
  OwnerReply,
  RemoteResolution,
} from './gateway/gate_client';
export {GateTask} from './gate/gate_task';
export type {
  Announcement,
  AttemptRequest,
  AttemptResult,
  GateEvents,
  BufferedAnswer,
} from './gate/messages';
export {ServerConnections} from './gate/server_connections';
export type {ServerExchange} from './gate/server_connections';
export {OwnServerInterface, ServerInterface} from './gate/server_interface';
export type {
  AnswerClass,
  ServerLoad,
  ServerNotice,
} from './gate/server_interface';
export type {ExchangeRequest, ExchangeResult} from './http/exchange';
export {ControlPlane} from './control_plane';
export {SidecarControl} from './sidecar/sidecar_control';
export type {
  ConfigProofOptions,
  SidecarControlEvents,
  SidecarControlOptions,
} from './sidecar/sidecar_control';
export type {ControlEvents, ControlPlaneOptions} from './control_plane';
export {PeerLinks} from './member/peer_links';
export type {ConfigDelta} from './member/peer_links';

export {LEASE_MS, QuotaTask} from './quota/quota_task';
export type {
  QuotaLinks,
  QuotaTaskOptions,
  TokensAnswer,
  TokensQuery,
} from './quota/quota_task';

/** A node with replaceable interfaces to callers, servers and the store. */
export {SidecarNode} from './sidecar/sidecar_node';
export type {SidecarNodeOptions} from './sidecar/sidecar_node';
export type {ConfiguredAccounts, SidecarConfig} from './sidecar/sidecar_config';
export {TRAFFIC_KINDS} from './peers/cross_domain_traffic';
export type {TrafficKind} from './peers/cross_domain_traffic';
export {CallerInterface} from './gateway/caller_interface';
export type {RulesByService} from './gateway/caller_interface';
export type {CallHead} from './gateway/call_head';
export type {
  ChoiceExplanation,
  ExplainedServer,
} from './gateway/route_explainer';
export type {AnswerContext} from './gateway/answer_writer';
export {HttpServerConnections} from './gate/server_connections';
export {connectionLimits, InputBudget, reserveBytes} from './http/input_budget';
export type {ConnectionLimits, Retention} from './http/input_budget';
export {isInvalidStatus} from './http/exchange';
export {GrowingBuffer} from './http/growing_buffer';
export {decodePathSegment, Listener, readText} from './http/listener';
export {endToEndHeaders} from './http/header_filter';
export type {HeaderMap} from './http/header_filter';
export {endWithBody, pipeStream} from './http/answer_body';
export {fingerprintOf} from './fingerprint';
