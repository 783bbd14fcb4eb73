/** Rules of a service, as change tickets set them. */

import type {Mechanism} from './mechanism';

/** Name of a routing policy. All but `expectedTime` are baselines for comparison. */
export type PolicyName =
  'expectedTime' | 'random' | 'roundRobin' | 'leastReported' | 'powerOfTwo';

/** Configuration of one service by its operators. Each key is also a key of a ticket, in snake case. */
export interface ServiceRules {
  readonly policy: PolicyName;
  /** Deadline of a call whose caller gives none, milliseconds. */
  readonly deadlineMs: number;
  /** Longest deadline that a caller may give, milliseconds. */
  readonly maxDeadlineMs: number;
  /** HTTP methods whose calls may run more than once. */
  readonly repeatableMethods: readonly string[];
  /** Path prefixes whose calls may run more than once, whatever the method. */
  readonly repeatablePaths: readonly string[];
  /** Path prefixes whose calls must not run more than once, whatever the method. */
  readonly oncePaths: readonly string[];
  /** Greatest number of resends in a tree of calls. */
  readonly maxRetries: number;
  /** Resends as a share of calls, percent. */
  readonly retryPercent: number;
  /** Resends per window that each node may make in addition to that share. */
  readonly retryBurst: number;
  /** Further resends per window for the whole fleet, divided among the known nodes. */
  readonly retryPool: number;
  /** Window over which resends are counted, milliseconds. */
  readonly retryWindowMs: number;
  /** Hedged attempts as a share of calls, percent; 0 turns hedging off. */
  readonly hedgePercent: number;
  /** Quantile of the service's latency after which a call is hedged, percent. */
  readonly hedgeQuantile: number;
  /** Load probes per second that one node may send for this service. */
  readonly probesPerSecond: number;
  /** Load probes as a share of calls, percent; applies together with the rate. */
  readonly probePercent: number;
  /** Bytes per second that one node may use for load probes of this service. */
  readonly probeBytesPerSecond: number;
  /** Surcharge on the expected time of servers in other failure domains, percent of the median service time; traffic between domains costs money. */
  readonly crossDomainPercent: number;
  /** Share of a call's value that leaving its failure domain may cost for a call of average size, percent. */
  readonly crossingCostPercent: number;
  /** Greatest length of a gate's queue, per slot of its server. */
  readonly queuePerSlot: number;
  /** Upper bound on the slots that a server may declare. */
  readonly maxSlots: number;
  /** Share of its slots that a gate uses, percent. */
  readonly slotPercent: number;
  /** Path at which a gate polls its server for its load; empty if the server has none. */
  readonly loadPath: string;
  /** Polls of that path per second. */
  readonly loadChecksPerSecond: number;
  /** Time over which a server that has just started is brought up to its full share of calls, milliseconds. */
  readonly warmUpMs: number;
  /** Requests per second that a server tolerates while it is cold; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  /** Further requests that a cold server may get in any one second. */
  readonly coldBurst: number;
  /** Time after its start for which a server is cold if it does not say for how long, milliseconds. */
  readonly coldStartMs: number;
  /** Largest request body accepted, bytes. */
  readonly maxRequestBytes: number;
  /** Largest response buffered before it is sent, bytes; a larger one is streamed. */
  readonly maxBufferedBytes: number;
  /** Status codes by which a server reports that it has shed a request without running it. */
  readonly shedStatuses: readonly number[];
  /** Size of the stable subset of servers that each gateway uses; 0 for all servers. */
  readonly subsetSize: number;
  /** Time without any part of a response after which the gateway queries the gate about an attempt, milliseconds. */
  readonly silenceMs: number;
  /** Time for which a request that has crashed servers is refused, seconds. */
  readonly quarantineSeconds: number;
  /** Nodes whose server of this service is drained. */
  readonly drainNodes: readonly string[];
  /** Mechanisms that are switched off for a measurement. */
  readonly disabled: readonly Mechanism[];
}

/** Values of the keys that a ticket omits. */
export const DEFAULT_SERVICE_RULES: ServiceRules = {
  policy: 'expectedTime',
  deadlineMs: 2_000,
  maxDeadlineMs: 60_000,
  repeatableMethods: ['GET', 'HEAD', 'OPTIONS'],
  repeatablePaths: [],
  oncePaths: [],
  maxRetries: 3,
  retryPercent: 20,
  retryBurst: 10,
  retryPool: 0,
  retryWindowMs: 10_000,
  hedgePercent: 5,
  hedgeQuantile: 95,
  probesPerSecond: 5,
  probePercent: 5,
  probeBytesPerSecond: 2_000,
  crossDomainPercent: 0,
  crossingCostPercent: 5,
  queuePerSlot: 100,
  maxSlots: 256,
  slotPercent: 100,
  loadPath: '',
  loadChecksPerSecond: 0,
  warmUpMs: 2_000,
  coldRequestsPerSecond: 0,
  coldBurst: 0,
  coldStartMs: 0,
  maxRequestBytes: 1_048_576,
  maxBufferedBytes: 1_048_576,
  shedStatuses: [],
  subsetSize: 0,
  silenceMs: 250,
  quarantineSeconds: 60,
  drainNodes: [],
  disabled: [],
};
