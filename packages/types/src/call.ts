/** Types of calls and their attempts. */

/** Milliseconds on a monotonic clock. */
export type Millis = number;

/** Microseconds. */
export type Micros = number;

/** Whether a server has run the request of a call. */
export type RunState = 'ran' | 'notRun' | 'unknown';

/** Identity of one attempt of a call, sent by a gateway to a gate. */
export interface AttemptId {
  /** Node identity of the gateway that made the attempt. */
  readonly gateway: string;
  /** Incarnation of that gateway. */
  readonly incarnation: number;
  /** Sequence number, one higher for each attempt of that incarnation. */
  readonly seq: number;
}

/** Attributes of a call that routing, retries and admission depend on. */
export interface CallAttributes {
  readonly callId: string;
  readonly service: string;
  /** Whether the rules of its service allow the call to run more than once. */
  readonly repeatable: boolean;
  /** Idempotency key that the caller sent. */
  readonly key: string | undefined;
  /** Time after which the caller no longer uses a response. */
  readonly deadline: Millis;
  /** Resends left for the whole tree of calls that the first caller started. */
  readonly retriesLeft: number;
  /** Number of gateways that the tree of calls has passed through so far. */
  readonly depth: number;
  /** Greatest number of servers that may run the call; undefined for no limit. */
  readonly maxRuns?: number;
  /** Name of the route that matched the call; empty if there are no routes. */
  readonly route: string;
  /** Service of the VM that the tree of calls started from; empty if unknown. */
  readonly origin: string;
  /** Priority of the call; 0 is the highest. */
  readonly priority: number;
  /** Latency objective: time up to which a response has its full value to the caller. */
  readonly objective: Millis;
  /** Whether the caller has been refused before. */
  readonly returning: boolean;
  /** Whether servers refuse it rather than start it if it is not expected to end by the deadline, as its gateway closes then. */
  readonly mustEnd?: boolean;
}
