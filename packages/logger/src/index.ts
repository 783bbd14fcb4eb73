/** Logs JSON lines without ever blocking a call. */
export {Logger} from './logger';
export type {LoggerOptions, LogFields, LogLevel} from './logger';
export {BoundedSink} from './bounded_sink';
