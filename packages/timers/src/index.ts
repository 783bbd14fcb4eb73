/** Clocks and timers that tasks are given. */
export {Timers} from './timers';
export type {Cancel} from './timers';
export {RealTimers} from './real_timers';
