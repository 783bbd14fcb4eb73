/** Clocks and timers that are injected into tasks. */
export {Timers} from './timers';
export type {Cancel} from './timers';
export {RealTimers, runAfter} from './real_timers';
export {WakeableDelay} from './wakeable_delay';
export {TransferTimeout} from './transfer_timeout';
export type {TransferTimeoutOptions} from './transfer_timeout';
