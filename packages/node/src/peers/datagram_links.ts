/** UDP socket for gossip messages and load requests. */
import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import {runGuarded} from '@goldcresthill/errors';
import type {
  Confirmation,
  EvacuationNotice,
  ExchangeMessage,
} from '@goldcresthill/membership';
import {decodeDatagram, encodeDatagram} from '@goldcresthill/peers';
import type {
  ConfirmationDatagram,
  Datagram,
  ExchangeDatagram,
  LoadResponse,
  LoadRequest,
  ProofEntry,
  TokensDatagram,
} from '@goldcresthill/peers';
import type {AllocatorList} from '@goldcresthill/quotas';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {
  AdmissionEstimate,
  AdmissionQuery,
  Millis,
  NodeAddress,
} from '@goldcresthill/types';
import {fetchConfig} from '../gateway/gate_client';
import {PeerLinks} from '../member/peer_links';
import type {ConfigDelta} from '../member/peer_links';
import type {CrossDomainTraffic} from './cross_domain_traffic';
import type {TokensAnswer, TokensQuery} from '../quota/quota_task';

/** Events that the links report to the rest of the node. */
export interface DatagramEvents {
  /** Handles a gossip message of another node and returns the answer. */
  readonly onExchange: (message: ExchangeMessage) => ExchangeMessage;
  /** Estimates whether the server on this VM would admit a call; `reply` gets undefined if there is no server of that service. */
  readonly onLoadRequest: (
    query: AdmissionQuery,
    reply: (estimate: AdmissionEstimate | undefined) => void,
  ) => void;
  /** The sender of a message has a confirmation of the configuration; `isSpread` if it is to be passed on. */
  readonly onConfirmation: (
    confirmation: Confirmation,
    isSpread: boolean,
  ) => void;
  /** The sender of a message knows something of evacuations. Called before `onConfirmation`, which may pass both on. */
  readonly onEvacuations?: (notice: EvacuationNotice) => void;
  /** Returns this node's proofs of store objects, for another node. */
  readonly onProve?: (names: readonly string[]) => readonly ProofEntry[];
  /** Answers a gateway's request for tokens, unless it returns undefined; `sendList` tells the gateway of a list of allocators. */
  readonly onTokens?: (
    query: TokensQuery,
    sendList: (list: AllocatorList) => void,
  ) => TokensAnswer | undefined;
  /** Another node tells of a list of allocators. */
  readonly onAllocators?: (list: AllocatorList) => void;
  readonly onFault: (err: unknown) => void;
}

/** Options of DatagramLinks. */
export interface DatagramLinksOptions {
  readonly address: NodeAddress;
  readonly timers: Timers;
  /** Returns the age of the newest confirmation of the configuration in force, milliseconds. */
  readonly confirmedMs: () => Millis;
  /** Returns what this node tells others of evacuations; undefined for nothing. */
  readonly evacuations?: () => EvacuationNotice | undefined;
  /** Counts datagrams to other failure domains. */
  readonly traffic?: CrossDomainTraffic;
  readonly events: DatagramEvents;
}

/** Timeout of a gossip message, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 300;
/** Time after which the tokens of an answer would have expired, milliseconds. */
const TOKENS_TIMEOUT_MS = 500;
/** Time after which a late load response is discarded, milliseconds. */
const LOAD_TIMEOUT_MS = 300;
/** Time after which another node is queried for a proof, milliseconds. */
const PROOF_TIMEOUT_MS = 200;

interface PendingRequest {
  readonly cancel: Cancel;
  readonly onAnswer: (answer: Datagram | undefined) => void;
}

/** Address family that a lookup returns for IPv4. */
const IPV4_FAMILY = 4;

/** Correlates answers with requests. Lost datagrams are not sent again. */
export class DatagramLinks extends PeerLinks {
  private readonly pending = new Map<number, PendingRequest>();
  private socket: Socket | undefined;
  private nextRef = 0;

  constructor(private readonly options: DatagramLinksOptions) {
    super();
  }

  /** Binds the socket to the control port of this node. */
  async listen(): Promise<void> {
    // Nodes are known by address, so there is nothing to look up.
    const socket = createSocket({
      type: 'udp4',
      lookup: (host, _options, done) => done(null, host, IPV4_FAMILY),
    });
    this.socket = socket;
    const {onFault} = this.options.events;
    socket.on('message', (bytes, from) =>
      runGuarded(onFault, () => this.receive(bytes, from.address, from.port)),
    );
    const {host, controlPort} = this.options.address;
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(controlPort, host, resolve);
    });
    socket.on('error', onFault);
  }

  override exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    return new Promise(resolve => {
      const ref = this.addPending(EXCHANGE_TIMEOUT_MS, answer =>
        resolve(answer?.type === 'answer' ? answer.message : undefined),
      );
      const confirmedMs = this.options.confirmedMs();
      this.send(
        {type: 'exchange', ref, message, confirmedMs, ...this.extras()},
        to,
      );
    });
  }

  /** Requests the load of the server on another node's VM; calls `done` once, with undefined if no response arrived in time. */
  requestLoad(
    to: NodeAddress,
    query: AdmissionQuery,
    done: (answer: LoadResponse | undefined) => void,
  ): void {
    const ref = this.addPending(LOAD_TIMEOUT_MS, answer =>
      done(answer?.type === 'load' ? answer : undefined),
    );
    this.send({type: 'ask', ref, query}, to);
  }

  /** Requests tokens of another node; `done` is called unless no answer arrives in time. */
  requestTokens(
    to: NodeAddress,
    query: TokensQuery,
    done: (answer: TokensAnswer) => void,
  ): void {
    const ref = this.addPending(TOKENS_TIMEOUT_MS, answer => {
      if (answer?.type === 'granted') done(answer);
    });
    this.send({type: 'tokens', ref, ...query}, to);
  }

  /** Tells a node of a list of allocators; it may be lost. */
  sendAllocators(
    to: Pick<NodeAddress, 'host' | 'controlPort'>,
    list: AllocatorList,
  ): void {
    this.send({type: 'allocators', list}, to);
  }

  /** Tells a node of a confirmation; it may be lost. */
  confirm(to: NodeAddress, confirmation: Confirmation): void {
    this.send({type: 'confirmed', confirmation, ...this.extras()}, to);
  }

  /** Queries a node for proofs of store objects; calls `done` once, with undefined if no answer arrived in time. */
  requestProofs(
    to: NodeAddress,
    names: readonly string[],
    done: (proofs: readonly ProofEntry[] | undefined) => void,
  ): void {
    const ref = this.addPending(PROOF_TIMEOUT_MS, answer =>
      done(answer?.type === 'proof' ? answer.proofs : undefined),
    );
    this.send({type: 'prove', ref, names}, to);
  }

  /** Fetches the complete configuration, which is the change since revision 0. */
  override async fetchConfig(
    from: NodeAddress,
  ): Promise<ConfigDelta | undefined> {
    const text = await fetchConfig(from);
    return text === undefined ? undefined : {since: 0, delta: text};
  }

  override close(): void {
    for (const {cancel, onAnswer} of this.pending.values()) {
      cancel();
      onAnswer(undefined);
    }
    this.pending.clear();
    this.socket?.close();
    this.socket = undefined;
  }

  private addPending(
    timeoutMs: Millis,
    onAnswer: PendingRequest['onAnswer'],
  ): number {
    const ref = this.nextRef++;
    const cancel = this.options.timers.after(timeoutMs, () =>
      this.complete(ref, undefined),
    );
    this.pending.set(ref, {cancel, onAnswer});
    return ref;
  }

  private complete(ref: number, answer: Datagram | undefined): void {
    const request = this.pending.get(ref);
    if (request === undefined) return;
    this.pending.delete(ref);
    request.cancel();
    request.onAnswer(answer);
  }

  private receive(bytes: Buffer, host: string, port: number): void {
    const datagram = decodeDatagram(bytes);
    if (datagram !== undefined) this.dispatch(datagram, host, port);
  }

  private dispatch(datagram: Datagram, host: string, port: number): void {
    const {events, confirmedMs} = this.options;
    const from = {host, controlPort: port};
    switch (datagram.type) {
      case 'exchange': {
        this.recordConfirmation(datagram);
        const message = events.onExchange(datagram.message);
        const {ref} = datagram;
        this.send(
          {
            type: 'answer',
            ref,
            message,
            confirmedMs: confirmedMs(),
            ...this.extras(),
          },
          from,
        );
        return;
      }
      case 'answer':
        this.recordConfirmation(datagram);
        this.complete(datagram.ref, datagram);
        return;
      case 'confirmed':
        this.recordEvacuations(datagram);
        events.onConfirmation(datagram.confirmation, true);
        return;
      case 'ask':
        this.answerLoadRequest(datagram, from);
        return;
      case 'load':
      case 'proof':
      case 'granted':
        this.complete(datagram.ref, datagram);
        return;
      case 'prove': {
        const proofs = events.onProve?.(datagram.names) ?? [];
        this.send({type: 'proof', ref: datagram.ref, proofs}, from);
        return;
      }
      case 'tokens':
        this.answerTokens(datagram, from);
        return;
      case 'allocators':
        events.onAllocators?.(datagram.list);
        return;
    }
  }

  private extras(): {evacuations?: EvacuationNotice} {
    const evacuations = this.options.evacuations?.();
    return evacuations === undefined ? {} : {evacuations};
  }

  private recordEvacuations({
    evacuations,
  }: ExchangeDatagram | ConfirmationDatagram): void {
    if (evacuations !== undefined)
      this.options.events.onEvacuations?.(evacuations);
  }

  private recordConfirmation(datagram: ExchangeDatagram): void {
    this.recordEvacuations(datagram);
    const {confirmedMs, message} = datagram;
    const {configRevision: revision} = message;
    const confirmation = {revision, ageMs: confirmedMs};
    this.options.events.onConfirmation(confirmation, false);
  }

  private answerLoadRequest(
    {ref, query}: LoadRequest,
    from: Pick<NodeAddress, 'host' | 'controlPort'>,
  ): void {
    const {bootId} = this.options.address;
    this.options.events.onLoadRequest(query, estimate =>
      this.send({type: 'load', ref, bootId, estimate}, from),
    );
  }

  private answerTokens(
    datagram: TokensDatagram,
    from: Pick<NodeAddress, 'host' | 'controlPort'>,
  ): void {
    const answer = this.options.events.onTokens?.(datagram, list =>
      this.sendAllocators(from, list),
    );
    const {ref} = datagram;
    if (answer !== undefined)
      this.send({type: 'granted', ref, ...answer}, from);
  }

  // A send error is treated like a lost datagram. Invalid addresses are reported by an exception.
  private send(
    datagram: Datagram,
    to: Pick<NodeAddress, 'host' | 'controlPort'>,
  ): void {
    const text = encodeDatagram(datagram);
    const {host, controlPort} = to;
    this.options.traffic?.recordDatagram(
      datagram.type,
      host,
      controlPort,
      Buffer.byteLength(text),
    );
    try {
      this.socket?.send(text, to.controlPort, to.host, () => undefined);
    } catch (err) {
      this.options.events.onFault(err);
    }
  }
}
