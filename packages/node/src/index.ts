/** One node: tasks that own sockets and state, wired together. */
export {Node} from './node';
export type {NodeOptions, NodePorts} from './node';
export type {NodeStatus} from './operator/status';
export {CallRunner} from './gateway/call_runner';
export type {
  AttemptHandle,
  CallEnvironment,
  CallOutcome,
} from './gateway/call_runner';
