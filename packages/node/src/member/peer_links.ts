/** Exchanges of control messages with other nodes, behind a class so that trials can do without sockets. */
import type {ExchangeMessage} from '@goldcresthill/membership';
import type {NodeAddress} from '@goldcresthill/types';

/** Changed part of a configuration, as a peer sends it. */
export interface ConfigDelta {
  readonly since: number;
  readonly delta: string;
}

/** Ways to reach the control interface of other nodes. */
export abstract class PeerLinks {
  /** Sends a message; undefined if no answer came in time. */
  abstract exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined>;
  /** Fetches what changed in the configuration since a revision. */
  abstract fetchConfig(
    from: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined>;
  abstract close(): void;
}
