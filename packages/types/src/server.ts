/** Servers, nodes and what they report. */
import type {Micros} from './call';

/** State of a server as its gate sees it. */
export type ServerState = 'up' | 'draining' | 'down';

/** Load as the gate of a server counts it, carried on each answer and probe. */
export interface LoadReport {
  /** Requests at the server now. */
  readonly inFlight: number;
  /** Requests that wait at the gate. */
  readonly queued: number;
  /** Requests the gate lets run at once. */
  readonly limit: number;
  /** Expected time at the server of one more request, without waiting. */
  readonly serviceUs: Micros;
  /** How many times longer than usual work takes on the server's VM now; 1 is usual. */
  readonly slowdown: number;
  readonly state: ServerState;
}

/** Where a node can be reached. */
export interface NodeAddress {
  readonly nodeId: string;
  /** Unique to one process of the node; its ledger is as old as this. */
  readonly bootId: number;
  readonly host: string;
  /** Port for calls between gateway and gate. */
  readonly dataPort: number;
  /** Port for control messages between nodes. */
  readonly controlPort: number;
  readonly domain: string;
  readonly region: string;
}

/** A server as the node of its VM announces it to the fleet. */
export interface ServerRecord {
  readonly service: string;
  /** Port of the server on the loopback interface of its VM. */
  readonly port: number;
  /** Requests the server says it can run at once. */
  readonly slots: number;
  /** Changes whenever the server process starts anew. */
  readonly instance: string;
  readonly state: ServerState;
}

/** Names a server in the whole fleet. */
export function serverId(nodeId: string, service: string): string {
  return `${nodeId}/${service}`;
}
