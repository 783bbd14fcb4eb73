/** The closed list of error kinds, and the answer that each one gives. */
export type {ErrorAnswer, ErrorKind} from './error_kinds';
export {ERROR_ANSWERS, answerFor, isErrorKind} from './error_kinds';
export {BalancerError} from './balancer_error';
export {runGuarded} from './fault_boundary';
export type {FaultListener} from './fault_boundary';
