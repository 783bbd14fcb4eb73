/** Socket for datagrams: messages of membership, and questions about load. */
import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import type {ExchangeMessage} from '@goldcresthill/membership';
import {decodeDatagram, encodeDatagram} from '@goldcresthill/peers';
import type {Datagram, LoadResponse, LoadRequest} from '@goldcresthill/peers';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {LoadReport, Millis, NodeAddress} from '@goldcresthill/types';
import {fetchConfig} from '../gateway/gate_client';
import {PeerLinks} from '../member/peer_links';
import type {ConfigDelta} from '../member/peer_links';

/** What the links tell the rest of the node. */
export interface DatagramEvents {
  /** Takes a message of another node and answers it. */
  readonly onExchange: (message: ExchangeMessage) => ExchangeMessage;
  /** Finds out the load of the server beside this node. */
  readonly onLoadRequest: (
    service: string,
    reply: (report: LoadReport | undefined) => void,
  ) => void;
  /** The sender has heard of a watcher of the configuration that long ago. */
  readonly onWatcherSeen: (ageMs: Millis) => void;
  readonly onFault: (err: unknown) => void;
}

/** What the links start from. */
export interface DatagramLinksOptions {
  readonly address: NodeAddress;
  readonly timers: Timers;
  /** Time since this node has heard of a watcher, milliseconds. */
  readonly watcherAgeMs: () => Millis;
  readonly events: DatagramEvents;
}

/** Longest wait for the answer to a message, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 300;
/** Longest time for which a late answer about load is still taken, milliseconds. */
const LOAD_TIMEOUT_MS = 300;

interface PendingRequest {
  readonly cancel: Cancel;
  readonly onAnswer: (answer: Datagram | undefined) => void;
}

/** Joins answers to questions; what is lost is not sent again. */
export class DatagramLinks extends PeerLinks {
  private readonly pending = new Map<number, PendingRequest>();
  private socket: Socket | undefined;
  private nextRef = 0;

  constructor(private readonly options: DatagramLinksOptions) {
    super();
  }

  async listen(): Promise<void> {
    const socket = createSocket('udp4');
    this.socket = socket;
    socket.on('message', (bytes, from) =>
      this.receive(bytes, from.address, from.port),
    );
    const {host, controlPort} = this.options.address;
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(controlPort, host, resolve);
    });
    socket.on('error', err => this.options.events.onFault(err));
  }

  override exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage | undefined> {
    return new Promise(resolve => {
      const ref = this.addPending(EXCHANGE_TIMEOUT_MS, answer =>
        resolve(answer?.type === 'answer' ? answer.message : undefined),
      );
      const watchedMs = this.options.watcherAgeMs();
      this.send({type: 'exchange', ref, message, watchedMs}, to);
    });
  }

  /** Asks for the load beside a node; `done` is called once, with undefined if no answer came. */
  requestLoad(
    to: NodeAddress,
    service: string,
    done: (answer: LoadResponse | undefined) => void,
  ): void {
    const ref = this.addPending(LOAD_TIMEOUT_MS, answer =>
      done(answer?.type === 'load' ? answer : undefined),
    );
    this.send({type: 'ask', ref, service}, to);
  }

  /** The whole configuration, which is its change since the first. */
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
    if (datagram === undefined) return;
    try {
      this.dispatch(datagram, host, port);
    } catch (err) {
      this.options.events.onFault(err);
    }
  }

  private dispatch(datagram: Datagram, host: string, port: number): void {
    const {events, watcherAgeMs} = this.options;
    const from = {host, controlPort: port};
    switch (datagram.type) {
      case 'exchange': {
        events.onWatcherSeen(datagram.watchedMs);
        const message = events.onExchange(datagram.message);
        const {ref} = datagram;
        this.send(
          {type: 'answer', ref, message, watchedMs: watcherAgeMs()},
          from,
        );
        return;
      }
      case 'answer':
        events.onWatcherSeen(datagram.watchedMs);
        this.complete(datagram.ref, datagram);
        return;
      case 'ask':
        this.answerLoadRequest(datagram, from);
        return;
      case 'load':
        this.complete(datagram.ref, datagram);
        return;
    }
  }

  private answerLoadRequest(
    {ref, service}: LoadRequest,
    from: Pick<NodeAddress, 'host' | 'controlPort'>,
  ): void {
    const {bootId} = this.options.address;
    this.options.events.onLoadRequest(service, report =>
      this.send({type: 'load', ref, bootId, report}, from),
    );
  }

  // What cannot be sent is as good as lost.
  private send(
    datagram: Datagram,
    to: Pick<NodeAddress, 'host' | 'controlPort'>,
  ): void {
    const text = encodeDatagram(datagram);
    this.socket?.send(text, to.controlPort, to.host, () => undefined);
  }
}
