/** Counts the bytes that this node sends to nodes of other failure domains. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Datagram} from '@goldcresthill/peers';
import type {NodeAddress} from '@goldcresthill/types';

/** What bytes between failure domains were sent for. */
export const TRAFFIC_KINDS = [
  /** Attempts that gateways send to gates, and the few other requests on the same connections. */
  'request',
  /** Responses to attempts. */
  'answer',
  /** Load queries and their answers, by datagram or on the data port. */
  'loadQuery',
  /** Membership messages and their answers. */
  'gossip',
  /** Texts of the configuration. */
  'configuration',
  'confirmation',
  /** Complete member tables. */
  'memberTable',
  /** Everything else, such as answers about the outcome of attempts. */
  'other',
] as const;

export type TrafficKind = (typeof TRAFFIC_KINDS)[number];

/** Kinds of datagrams; those that are not listed count as `other`. */
const DATAGRAM_KINDS: Readonly<Partial<Record<Datagram['type'], TrafficKind>>> =
  {
    exchange: 'gossip',
    answer: 'gossip',
    ask: 'loadQuery',
    load: 'loadQuery',
    confirmed: 'confirmation',
  };

/** Connection whose written bytes are read when the total is. */
interface CountedSocket {
  readonly bytesWritten: number;
  once(event: 'close', listener: () => void): unknown;
}

/**
 * Bytes by kind: payloads of datagrams, and what is written to TCP connections,
 * heads included. Headers of IP, UDP and TCP are not counted. A request costs
 * nothing, because open connections are read only when the total is; a response
 * to another domain costs one listener. A peer that is not in the member table
 * is not counted.
 */
export class CrossDomainTraffic {
  private readonly totals = new Map<TrafficKind, number>();
  private readonly requestSockets = new Set<CountedSocket>();
  /** Bytes of each connection that have been counted as responses. */
  private readonly counted = new WeakMap<Socket, number>();
  private foreignNodes: ReadonlySet<string> = new Set();
  /** `host:controlPort` of nodes in other domains. */
  private foreignPorts: ReadonlySet<string> = new Set();
  /** Hosts all of whose nodes are in other domains. */
  private foreignHosts: ReadonlySet<string> = new Set();

  /** Counts for a node of this failure domain. */
  constructor(private readonly domain: string) {}

  /** Sets the known nodes, from which the domain of a peer is found. */
  setNodes(nodes: readonly NodeAddress[]): void {
    const foreign = nodes.filter(({domain}) => domain !== this.domain);
    const ownHosts = new Set(
      nodes.filter(n => n.domain === this.domain).map(({host}) => host),
    );
    this.foreignNodes = new Set(foreign.map(({nodeId}) => nodeId));
    this.foreignPorts = new Set(
      foreign.map(({host, controlPort}) => `${host}:${controlPort}`),
    );
    this.foreignHosts = new Set(
      foreign.map(({host}) => host).filter(host => !ownHosts.has(host)),
    );
  }

  /** Counts a datagram that is sent to a control port. */
  recordDatagram(
    type: Datagram['type'],
    host: string,
    port: number,
    bytes: number,
  ): void {
    if (!this.foreignPorts.has(`${host}:${port}`)) return;
    this.add(DATAGRAM_KINDS[type] ?? 'other', bytes);
  }

  /** Counts what is written to a connection to the data port of a node in the given domain. */
  watchRequests(domain: string, socket: CountedSocket): void {
    if (domain === this.domain) return;
    this.requestSockets.add(socket);
    socket.once('close', () => {
      this.requestSockets.delete(socket);
      this.add('request', socket.bytesWritten);
    });
  }

  /**
   * Counts the response to a request on the data port, with any part of it that
   * was written before its connection closed. `gateway` is the node that sent
   * the request; without it, the peer's address tells the domain.
   */
  watchResponse(
    kind: TrafficKind,
    gateway: string | undefined,
    {socket}: IncomingMessage,
    res: ServerResponse,
  ): void {
    const isForeign =
      gateway === undefined
        ? this.foreignHosts.has(socket.remoteAddress ?? '')
        : this.foreignNodes.has(gateway);
    if (!isForeign) return;
    res.once('close', () => {
      const before = this.counted.get(socket) ?? 0;
      this.counted.set(socket, socket.bytesWritten);
      this.add(kind, socket.bytesWritten - before);
    });
  }

  /** Bytes sent to other domains since the start of the process. */
  bytes(kind: TrafficKind): number {
    let total = this.totals.get(kind) ?? 0;
    if (kind === 'request')
      for (const socket of this.requestSockets) total += socket.bytesWritten;
    return total;
  }

  private add(kind: TrafficKind, bytes: number): void {
    this.totals.set(kind, (this.totals.get(kind) ?? 0) + bytes);
  }
}
