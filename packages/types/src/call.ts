/** A call and its attempts, as plain data. */

/** Milliseconds on a monotonic clock. */
export type Millis = number;

/** Microseconds. */
export type Micros = number;

/** What became of a call's work at the server. */
export type RunState = 'ran' | 'notRun' | 'unknown';

/** One try of a call at one gate. */
export interface AttemptId {
  /** Node identity of the gateway that made the attempt. */
  readonly gateway: string;
  /** Incarnation of that gateway. */
  readonly incarnation: number;
  /** Rises by one with each attempt of that incarnation. */
  readonly seq: number;
}

/** The parts of a call that decisions depend on. */
export interface CallAttributes {
  readonly callId: string;
  readonly service: string;
  /** Whether running it twice is harmless by the rules of its service. */
  readonly repeatable: boolean;
  /** Idempotency key of the caller, if it sent one. */
  readonly key: string | undefined;
  /** Instant after which an answer is of no use to the caller. */
  readonly deadline: Millis;
  /** Resends left for the whole call tree below the first caller. */
  readonly retriesLeft: number;
  /** How many gateways the call tree passed through to get here. */
  readonly depth: number;
  /** Most servers that may run the call; no bound if undefined. */
  readonly maxRuns?: number;
  /** Route that the call was sent on; empty without routes. */
  readonly route: string;
  /** Service of the VM where the call began; empty if unknown. */
  readonly origin: string;
  /** Rank of the call; 0 goes first. */
  readonly priority: number;
  /** Instant up to which an answer is worth its full value to the caller. */
  readonly objective: Millis;
  /** The caller was refused before. */
  readonly returning: boolean;
}
