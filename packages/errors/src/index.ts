/** The closed list of error kinds and the answer that each one gives. */
export type {ErrorAnswer, ErrorKind} from './kinds';
export {ANSWERS, answerTo, isErrorKind} from './kinds';
export {BalancerError} from './balancer_error';
