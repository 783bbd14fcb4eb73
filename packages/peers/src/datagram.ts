/** Types of the datagrams between nodes. */
import type {ExchangeMessage} from '@goldcresthill/membership';
import type {
  AdmissionEstimate,
  AdmissionQuery,
  Millis,
} from '@goldcresthill/types';

/** A membership message or the answer to one. */
export interface ExchangeDatagram {
  readonly type: 'exchange' | 'answer';
  /** Correlates an answer with its request. */
  readonly ref: number;
  readonly message: ExchangeMessage;
  /** Time since the sender last had evidence of a node that watches the configuration, milliseconds. */
  readonly watchedMs: Millis;
}

/** A gateway's request for the load of the server on a node's VM, and for whether it would admit a call. */
export interface LoadRequest {
  readonly type: 'ask';
  readonly ref: number;
  readonly query: AdmissionQuery;
}

/** Current load of the server on the responding node's VM. */
export interface LoadResponse {
  readonly type: 'load';
  readonly ref: number;
  /** Boot id of the responding node's process. */
  readonly bootId: number;
  /** Undefined if the VM has no server of the requested service. */
  readonly estimate: AdmissionEstimate | undefined;
}

export type Datagram = ExchangeDatagram | LoadRequest | LoadResponse;
