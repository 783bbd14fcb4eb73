/** One node: tasks that own sockets and state, wired together. */
export {Node} from './node';
export type {NodeOptions} from './node';
export type {NodePorts} from './tasks';
export type {NodeStatus} from './operator/status';

/** The parts that also run in virtual time. */
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
  KeptAnswer,
} from './gate/messages';
export {ServerConnections} from './gate/server_connections';
export type {ServerExchange} from './gate/server_connections';
export type {ExchangeRequest, ExchangeResult} from './http/exchange';
export {ControlPlane} from './control_plane';
export type {ControlEvents, ControlPlaneOptions} from './control_plane';
export {PeerLinks} from './member/peer_links';
export type {ConfigDelta} from './member/peer_links';
export {fingerprintOf} from './fingerprint';
