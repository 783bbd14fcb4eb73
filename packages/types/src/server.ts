/** Types of servers, nodes and load reports. */
import type {Micros, Millis} from './call';

/** State of a server as its gate reports it. */
export type ServerState = 'up' | 'draining' | 'down';

/** Load of a server as its gate measures it, sent with each response and in reply to each probe. */
export interface LoadReport {
  /** Requests in flight at the server. */
  readonly inFlight: number;
  /** Requests that are queued at the gate. */
  readonly queued: number;
  /** Concurrency limit that the gate enforces. */
  readonly limit: number;
  /** Expected service time of one more request, without time in the queue. */
  readonly serviceUs: Micros;
  /** Factor by which requests on the server's VM take longer than normal now; 1 is normal. */
  readonly slowdown: number;
  readonly state: ServerState;
}

/** Properties of a call by which a gate decides whether to admit it. */
export interface AdmissionQuery {
  readonly service: string;
  readonly route: string;
  /** Service of the VM that the call came from. */
  readonly origin: string;
  /** Priority of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Time until the deadline. */
  readonly remainingMs: Millis;
  /** Time until the latency objective; negative once it has passed. */
  readonly objectiveRemainingMs: Millis;
  /** Whether the caller was refused before. */
  readonly returning: boolean;
}

/** A gate's answer to an admission query. */
export interface AdmissionEstimate {
  readonly report: LoadReport;
  /** Whether the gate would admit the call now. */
  readonly accepts: boolean;
}

/** Addresses and identity of a node. */
export interface NodeAddress {
  readonly nodeId: string;
  /** Unique to one process of the node; its ledger of attempts covers only this process. */
  readonly bootId: number;
  readonly host: string;
  /** Port for calls between gateway and gate. */
  readonly dataPort: number;
  /** Port for control messages between nodes. */
  readonly controlPort: number;
  readonly domain: string;
  readonly region: string;
}

/** A server as the node on its VM publishes it to the other nodes. */
export interface ServerRecord {
  readonly service: string;
  /** Port of the server on the loopback interface of its VM. */
  readonly port: number;
  /** Number of requests that the server declares it can run concurrently. */
  readonly slots: number;
  /** Changes whenever the server process restarts. */
  readonly instance: string;
  readonly state: ServerState;
}

/** Returns the identity of a server, unique among all nodes. */
export function serverId(nodeId: string, service: string): string {
  return `${nodeId}/${service}`;
}
