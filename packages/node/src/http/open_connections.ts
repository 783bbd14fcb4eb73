/** Which open connections of a port give way to others. */

/** State of an open connection. */
export interface ConnectionState {
  /** Requests that have been received and not been answered. */
  readonly openRequests: number;
  /** Bytes received since the last answer. */
  readonly unansweredBytes: number;
  /** Whether a request has been received on it. */
  readonly wasUsed: boolean;
}

/** What a connection does, in the order in which connections give way. */
const PHASES = ['halfOpen', 'unused', 'idle'] as const;

type Phase = (typeof PHASES)[number] | 'busy';

/** What a connection does: `halfOpen` is within a head, `busy` has a request in progress. */
export function phaseOf(connection: ConnectionState): Phase {
  const {openRequests, unansweredBytes, wasUsed} = connection;
  if (openRequests > 0) return 'busy';
  if (unansweredBytes > 0) return 'halfOpen';
  return wasUsed ? 'idle' : 'unused';
}

/**
 * Returns the connection that gives way to a new one: the oldest with half a
 * head, else the oldest without a request so far, else the oldest idle one;
 * undefined if all have requests in progress. `connections` are in order of age.
 */
export function connectionToClose<T>(
  connections: Iterable<T>,
  stateOf: (connection: T) => ConnectionState,
): T | undefined {
  const oldest = new Map<Phase, T>();
  for (const connection of connections) {
    const phase = phaseOf(stateOf(connection));
    if (phase === 'halfOpen') return connection;
    if (!oldest.has(phase)) oldest.set(phase, connection);
  }
  return PHASES.map(phase => oldest.get(phase)).find(
    connection => connection !== undefined,
  );
}
