/** Rules of a service: the state that a change ticket sets. */

/** Ways to choose a server. All but `expectedTime` are baselines. */
export type PolicyName =
  'expectedTime' | 'random' | 'roundRobin' | 'leastReported' | 'powerOfTwo';

/** Everything that operators decide for one service. */
export interface ServiceRules {
  readonly policy: PolicyName;
  /** Deadline of a call whose caller names none, milliseconds. */
  readonly deadlineMs: number;
  /** Longest deadline that a caller may ask for, milliseconds. */
  readonly maxDeadlineMs: number;
  /** Methods that may be run more than once. */
  readonly repeatableMethods: readonly string[];
  /** Path prefixes whose calls may be run more than once, whatever the method. */
  readonly repeatablePaths: readonly string[];
  /** Path prefixes whose calls must not be run more than once, whatever the method. */
  readonly oncePaths: readonly string[];
  /** Resends of a call tree. */
  readonly maxRetries: number;
  /** Resends as a share of calls, percent. */
  readonly retryPercent: number;
  /** Resends that a node may make in a window without calls that pay for them. */
  readonly retryBurst: number;
  /** The same for the whole fleet, divided among the nodes that are known. */
  readonly retryPool: number;
  /** Window over which resends are counted, milliseconds. */
  readonly retryWindowMs: number;
  /** Hedged attempts as a share of calls, percent; 0 turns hedging off. */
  readonly hedgePercent: number;
  /** Quantile of the service's latency after which a call is hedged, percent. */
  readonly hedgeQuantile: number;
  /** Probes of load per second that one node may send for this service. */
  readonly probesPerSecond: number;
  /** Probes as a share of calls, percent; both bounds hold. */
  readonly probePercent: number;
  /** Bytes per second that one node may spend on probes for this service. */
  readonly probeBytesPerSecond: number;
  /** Time by which a server of another failure domain must be better, percent of the median time; traffic between domains costs. */
  readonly crossDomainPercent: number;
  /** Requests that may wait at a gate, per slot of its server. */
  readonly queuePerSlot: number;
  /** Upper bound on the slots that a server may claim. */
  readonly maxSlots: number;
  /** Share of its slots up to which a server is filled, percent. */
  readonly slotPercent: number;
  /** Path that a gate asks for the load of its server; empty if the server has none. */
  readonly loadPath: string;
  /** Times per second that a gate asks its server for its load. */
  readonly loadChecksPerSecond: number;
  /** Time over which a server that has just started is given its full share, milliseconds. */
  readonly warmUpMs: number;
  /** Largest request body taken, bytes. */
  readonly maxRequestBytes: number;
  /** Largest answer held whole before it is sent; a longer one is streamed, bytes. */
  readonly maxBufferedBytes: number;
  /** Status codes by which a server says that it shed the request without running it. */
  readonly shedStatuses: readonly number[];
  /** Servers a gateway considers, drawn stably per gateway; 0 considers all. */
  readonly subsetSize: number;
  /** Time without any sign of an answer before the gate is asked about an attempt, milliseconds. */
  readonly silenceMs: number;
  /** Time for which a request that crashes servers is refused, seconds. */
  readonly quarantineSeconds: number;
  /** Nodes whose server of this service is asked to leave. */
  readonly drainNodes: readonly string[];
}

/** What a ticket need not spell out. */
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
  queuePerSlot: 100,
  maxSlots: 256,
  slotPercent: 100,
  loadPath: '',
  loadChecksPerSecond: 0,
  warmUpMs: 2_000,
  maxRequestBytes: 1_048_576,
  maxBufferedBytes: 1_048_576,
  shedStatuses: [],
  subsetSize: 0,
  silenceMs: 250,
  quarantineSeconds: 60,
  drainNodes: [],
};
