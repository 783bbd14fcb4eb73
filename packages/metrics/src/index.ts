/** Latency histograms and counters. */
export {Histogram} from './histogram';
export type {Percentiles} from './histogram';
export {Metrics} from './metrics';
export type {Labels} from './metrics';
