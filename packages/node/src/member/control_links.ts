/** Persistent control connections to a few other nodes, by connect-es over HTTP/1.1. */
import {Agent} from 'node:http';
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {ExchangeMessage} from '@goldcresthill/membership';
import {Control, decodeExchange, encodeExchange} from '@goldcresthill/protocol';
import type {NodeAddress} from '@goldcresthill/types';
import {PeerLinks} from './peer_links';
import type {ConfigDelta} from './peer_links';

interface Link {
  readonly bootId: number;
  readonly agent: Agent;
  readonly client: Client<typeof Control>;
}

/** Timeout of a request to a peer, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 500;
const IDLE_TIMEOUT_MS = 30_000;

/** Opens connections on first use and closes them when idle. */
export class ControlLinks extends PeerLinks {
  private readonly links = new Map<string, Link>();

  constructor(private readonly timeoutMs = EXCHANGE_TIMEOUT_MS) {
    super();
  }

  override async exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    try {
      const link = this.open(to);
      const answer = await link.client.exchange(encodeExchange(message), {
        timeoutMs: this.timeoutMs,
      });
      return decodeExchange(answer);
    } catch {
      this.drop(to.nodeId);
      return undefined;
    }
  }

  override async fetchConfig(
    from: NodeAddress,
    since: number,
  ): Promise<ConfigDelta | undefined> {
    try {
      const {client} = this.open(from);
      return await client.fetchConfig({since}, {timeoutMs: this.timeoutMs});
    } catch {
      return undefined;
    }
  }

  override close(): void {
    for (const nodeId of [...this.links.keys()]) this.drop(nodeId);
  }

  private open(to: NodeAddress): Link {
    const existing = this.links.get(to.nodeId);
    if (existing !== undefined && existing.bootId === to.bootId)
      return existing;
    this.drop(to.nodeId);
    const baseUrl = `http://${to.host}:${to.controlPort}`;
    const agent = new Agent({keepAlive: true, timeout: IDLE_TIMEOUT_MS});
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '1.1',
      useBinaryFormat: true,
      nodeOptions: {agent},
    });
    const client = createClient(Control, transport);
    const link = {bootId: to.bootId, agent, client};
    this.links.set(to.nodeId, link);
    return link;
  }

  // A connection may be dead without having been closed, so the next message after a failure opens a new one.
  private drop(nodeId: string): void {
    this.links.get(nodeId)?.agent.destroy();
    this.links.delete(nodeId);
  }
}
