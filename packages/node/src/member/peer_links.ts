/** Interface for control messages to other nodes; trials implement it without sockets. */
import type {ExchangeMessage} from '@goldcresthill/membership';
import type {NodeAddress} from '@goldcresthill/types';

/** Changes of the configuration since a revision, as a peer sends them. */
export interface ConfigDelta {
  /** Revision that the changes are relative to; 0 if `delta` is the complete configuration. */
  readonly since: number;
  /** The changes in the encoding of the sender, JSON in a node with change tickets. */
  readonly delta: string;
}

/** Sends control messages to other nodes. No method rejects because a peer is unreachable. */
export abstract class PeerLinks {
  /** Sends a message; resolves to the answer, or to undefined if none arrived in time. */
  abstract exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined>;
  /** Fetches the changes of the configuration since a revision; resolves to undefined if the peer did not answer. */
  abstract fetchConfig(
    from: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined>;
  abstract close(): void;
}
