/** Latency histograms and counters. */
export {Histogram} from './histogram';
export type {LatencySummary} from './histogram';
export {Metrics} from './metrics';
export type {Labels} from './metrics';
