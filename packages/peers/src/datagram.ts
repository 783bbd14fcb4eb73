/** What nodes tell each other by datagrams. */
import type {ExchangeMessage} from '@goldcresthill/membership';
import type {LoadReport, Millis} from '@goldcresthill/types';

/** A message of membership, or the answer to one. */
export interface ExchangeDatagram {
  readonly type: 'exchange' | 'answer';
  /** Joins an answer to its question. */
  readonly ref: number;
  readonly message: ExchangeMessage;
  /** Time since the sender has heard of a node that watches the configuration, milliseconds. */
  readonly watchedMs: Millis;
}

/** A gateway asks for the load of the server beside a node. */
export interface LoadRequest {
  readonly type: 'ask';
  readonly ref: number;
  readonly service: string;
}

/** Load of the server beside a node now. */
export interface LoadResponse {
  readonly type: 'load';
  readonly ref: number;
  /** Process of the answering node. */
  readonly bootId: number;
  /** Undefined if there is no server of that service. */
  readonly report: LoadReport | undefined;
}

export type Datagram = ExchangeDatagram | LoadRequest | LoadResponse;
