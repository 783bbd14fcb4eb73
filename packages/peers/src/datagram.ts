/** Types of the datagrams between nodes. */
import type {
  Confirmation,
  EvacuationNotice,
  ExchangeMessage,
} from '@goldcresthill/membership';
import type {AllocatorList} from '@goldcresthill/quotas';
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
  /** Age of the newest confirmation of the sender's configuration, milliseconds. */
  readonly confirmedMs: Millis;
  /** What the sender knows of evacuations, if the deployment has some. */
  readonly evacuations?: EvacuationNotice;
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

/** A revision of the configuration was the newest one in the store a while ago. */
export interface ConfirmationDatagram {
  readonly type: 'confirmed';
  readonly confirmation: Confirmation;
  /** What the sender knows of evacuations, if the deployment has some. */
  readonly evacuations?: EvacuationNotice;
}

/** A node's query for proofs that what it holds of store objects is recent. */
export interface ProveDatagram {
  readonly type: 'prove';
  readonly ref: number;
  /** Paths of the objects. */
  readonly names: readonly string[];
}

/** A revision of a store object was the newest one a while ago. */
export interface ProofEntry {
  readonly name: string;
  readonly revision: number;
  /** Time since then, milliseconds. */
  readonly ageMs: Millis;
}

/** Answer to a query for proofs, without objects of which there is none. */
export interface ProofDatagram {
  readonly type: 'proof';
  readonly ref: number;
  readonly proofs: readonly ProofEntry[];
}

/** A gateway's request for tokens of a capped account. */
export interface TokensDatagram {
  readonly type: 'tokens';
  readonly ref: number;
  readonly account: string;
  readonly count: number;
  /** Epoch of the list of allocators that the sender holds. */
  readonly epoch: number;
}

/** Answer to a request for tokens. */
export interface GrantedDatagram {
  readonly type: 'granted';
  readonly ref: number;
  readonly count: number;
  /** Time from the request for which the tokens may be used, milliseconds; 0 if the sender grants none now. */
  readonly validityMs: Millis;
  readonly retryAfterMs: Millis;
  /** Epoch of the list of allocators that the sender holds. */
  readonly epoch: number;
}

/** A list of allocators that the receiver may not know. */
export interface AllocatorsDatagram {
  readonly type: 'allocators';
  readonly list: AllocatorList;
}

export type Datagram =
  | ExchangeDatagram
  | LoadRequest
  | LoadResponse
  | ConfirmationDatagram
  | ProveDatagram
  | ProofDatagram
  | TokensDatagram
  | GrantedDatagram
  | AllocatorsDatagram;
