/** Task that tells other nodes of this one by datagrams, and hears of them. */
import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import type {MemberNews, MemberRecord} from '@goldcresthill/membership';
import {
  decodeDatagram,
  encodeDatagram,
  LoadBroadcast,
  PeerTable,
} from '@goldcresthill/peers';
import type {Datagram, Hello, ServerLoadReport} from '@goldcresthill/peers';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, NodeAddress, ServerRecord} from '@goldcresthill/types';
import {NewsBoard} from './news_board';

/** What the task tells the rest of the node. */
export interface PeerEvents {
  readonly onMembers: (records: readonly MemberRecord[]) => void;
  readonly onLoads: (
    nodeId: string,
    loads: readonly ServerLoadReport[],
  ) => void;
  readonly onNews: (news: MemberNews) => void;
  /** Server processes of this VM leave, as an earlier process of this node had told. */
  readonly onLeaving: (instances: readonly string[]) => void;
  /** A node is gone, and what the store holds of it is for this one to remove. */
  readonly onForgotten: (address: NodeAddress) => void;
  /** Another node has a newer configuration. */
  readonly onNewerConfig: (holder: NodeAddress) => void;
  readonly onFault: (err: unknown) => void;
}

/** What the task starts from. */
export interface PeerTaskOptions {
  readonly address: NodeAddress;
  readonly timers: Timers;
  readonly servers: () => readonly ServerRecord[];
  readonly loads: () => readonly ServerLoadReport[];
  readonly configVersion: () => number;
  /** Server processes of this VM that have said that they leave. */
  readonly leavingServers: () => readonly string[];
  readonly events: PeerEvents;
}

/** Interval at which changes of load are looked for, milliseconds. */
const TICK_MS = 20;
/** Interval of full news, which repeats what a lost datagram carried, milliseconds. */
const HELLO_MS = 2_000;
/** A hello that carries a change is told once more after this time, in case it was lost, milliseconds. */
const HELLO_AGAIN_MS = 200;

/** Owns the socket for datagrams and the table of peers. */
export class PeerTask {
  private readonly table: PeerTable;
  private readonly broadcast = new LoadBroadcast();
  private readonly news: NewsBoard;
  private socket: Socket | undefined;
  private timers: Cancel[] = [];
  private seq = 0;
  private leaving = false;

  constructor(private readonly options: PeerTaskOptions) {
    this.table = new PeerTable({self: options.address});
    this.news = new NewsBoard();
  }

  /** Binds the socket and starts to tell. */
  async listen(): Promise<void> {
    const socket = createSocket('udp4');
    this.socket = socket;
    socket.on('message', bytes => this.receive(bytes));
    const {host, controlPort} = this.options.address;
    await new Promise<void>((done, fail) => {
      socket.once('error', fail);
      socket.bind(controlPort, host, done);
    });
    socket.on('error', err => this.options.events.onFault(err));
    const {timers} = this.options;
    this.timers = [
      timers.every(TICK_MS, () => this.tick()),
      timers.every(HELLO_MS, () => this.tellAll()),
    ];
  }

  /** Takes the nodes that the store lists. */
  learnListed(addresses: readonly NodeAddress[]): void {
    const now = this.options.timers.now();
    addresses.forEach(address => this.table.learnListed(now, address));
    this.tellAll(true);
  }

  /** Tells all nodes of everything at once, as after a change of the servers here. */
  tellChange(): void {
    this.tellAll();
    this.options.timers.after(HELLO_AGAIN_MS, () => this.tellAll());
  }

  private tellAll(asks = false): void {
    const hello = this.hello(asks);
    for (const target of this.table.targets(this.options.timers.now())) {
      this.send(hello, target);
    }
  }

  /** Spreads news of crashing requests with the next datagrams. */
  spread(news: MemberNews): void {
    if (this.news.post(this.options.timers.now(), news)) this.tellChange();
  }

  /** Tells the others that this node takes no more work. */
  leave(): void {
    this.leaving = true;
    this.tellChange();
  }

  get peerCount(): number {
    return this.table.size;
  }

  records(): MemberRecord[] {
    return [...this.table.records(), this.ownRecord()];
  }

  close(): void {
    this.timers.forEach(cancel => cancel());
    this.socket?.close();
    this.socket = undefined;
  }

  private tick(): void {
    const {timers, loads} = this.options;
    const now = timers.now();
    const {changed, forgotten} = this.table.advance(now);
    if (changed) this.tellMembers();
    forgotten.forEach(address => this.options.events.onForgotten(address));
    const current = loads();
    const targets = this.table.targets(now);
    if (!this.broadcast.isDue(now, current[0]?.report, targets.length)) return;
    const {nodeId, bootId} = this.options.address;
    const configVersion = this.options.configVersion();
    const seq = this.seq++;
    const text = encodeDatagram({
      type: 'load',
      nodeId,
      bootId,
      seq,
      configVersion,
      loads: current,
    });
    targets.forEach(target => this.sendText(text, target));
  }

  private receive(bytes: Buffer): void {
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined) return;
    try {
      this.hear(this.options.timers.now(), datagram);
    } catch (err) {
      this.options.events.onFault(err);
    }
  }

  private hear(now: Millis, datagram: Datagram): void {
    const change = this.table.hear(now, datagram);
    if (change.stale) return;
    const {events} = this.options;
    if (change.members) this.tellMembers();
    const nodeId =
      datagram.type === 'hello' ? datagram.address.nodeId : datagram.nodeId;
    events.onLoads(nodeId, datagram.loads);
    if (datagram.type === 'hello') this.hearHello(datagram, change.isNew);
    const holder = this.table.holderOfNewer(this.options.configVersion());
    if (holder !== undefined) events.onNewerConfig(holder);
  }

  private hearHello(hello: Hello, isNew: boolean): void {
    const now = this.options.timers.now();
    const {events} = this.options;
    for (const strike of hello.strikes) {
      const news: MemberNews = {type: 'strike', ...strike};
      if (this.news.post(now, news)) events.onNews(news);
    }
    for (const clearance of hello.clearances) {
      const news: MemberNews = {type: 'clearance', ...clearance};
      if (this.news.post(now, news)) events.onNews(news);
    }
    if (hello.yourLeaving.length > 0) events.onLeaving(hello.yourLeaving);
    if (!hello.asks && !isNew) return;
    const yourLeaving = this.table.leavingAt(hello.address.nodeId);
    this.send({...this.hello(false), yourLeaving}, hello.address);
  }

  private tellMembers(): void {
    this.options.events.onMembers(this.records());
  }

  private ownRecord(): MemberRecord {
    const {address, servers} = this.options;
    return {
      address,
      incarnation: address.bootId,
      version: 0,
      status: 'alive',
      servers: servers(),
    };
  }

  private hello(asks: boolean): Hello {
    const {address, servers, loads, configVersion, timers} = this.options;
    return {
      type: 'hello',
      address,
      seq: this.seq++,
      configVersion: configVersion(),
      leaving: this.leaving,
      servers: servers(),
      loads: loads(),
      ...this.news.current(timers.now()),
      leavingServers: this.options.leavingServers(),
      yourLeaving: [],
      asks,
    };
  }

  private send(datagram: Datagram, target: NodeAddress): void {
    this.sendText(encodeDatagram(datagram), target);
  }

  // A datagram that cannot be sent is repeated by the next one.
  private sendText(text: string, target: NodeAddress): void {
    this.socket?.send(text, target.controlPort, target.host, () => undefined);
  }
}
