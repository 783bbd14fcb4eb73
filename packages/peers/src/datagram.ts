/** What nodes tell each other by datagrams. */
import type {Clearance, Strike} from '@goldcresthill/quarantine';
import type {LoadReport, NodeAddress, ServerRecord} from '@goldcresthill/types';

/** A server's load, named by its service. */
export interface ServerLoadReport {
  readonly service: string;
  readonly report: LoadReport;
}

/** Everything that a node says of itself. */
export interface Hello {
  readonly type: 'hello';
  readonly address: NodeAddress;
  /** Rises with each datagram of one process of the node. */
  readonly seq: number;
  /** Version of the configuration in force there. */
  readonly configVersion: number;
  /** The node takes no new work. */
  readonly leaving: boolean;
  readonly servers: readonly ServerRecord[];
  readonly loads: readonly ServerLoadReport[];
  readonly strikes: readonly Strike[];
  readonly clearances: readonly Clearance[];
  /** Server processes of the sender's VM that have said that they leave. */
  readonly leavingServers: readonly string[];
  /** Server processes of the receiver's VM that leave, as it had told before it started anew. */
  readonly yourLeaving: readonly string[];
  /** The receiver is to answer with a hello of its own. */
  readonly asks: boolean;
}

/** Load alone, which changes far more often than the rest. */
export interface LoadNews {
  readonly type: 'load';
  readonly nodeId: string;
  readonly bootId: number;
  readonly seq: number;
  readonly configVersion: number;
  readonly loads: readonly ServerLoadReport[];
}

export type Datagram = Hello | LoadNews;
