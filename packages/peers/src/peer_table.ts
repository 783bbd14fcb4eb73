/** Aggregate of what one node knows of the others. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {Millis, NodeAddress} from '@goldcresthill/types';
import type {Datagram, Hello, LoadNews} from './datagram';

/** Bounds of silence. */
export interface PeerTableOptions {
  readonly self: NodeAddress;
  /** Silence after which a node gets no work, milliseconds. */
  readonly suspectMs?: Millis;
  /** Silence after which a node is forgotten, milliseconds. */
  readonly forgetMs?: Millis;
}

/** Several times the interval of load datagrams, as some get lost. */
const DEFAULT_SUSPECT_MS = 1_500;
/** Above the longest outage that a node is expected to come back from. */
const DEFAULT_FORGET_MS = 120_000;
/** A silent node is still told of this one for that long, in case only its own datagrams are lost. */
const STILL_TOLD_MS = 30_000;

/** Silence after which a process with an older clock replaces the known one; above the interval of load datagrams. */
const TAKEOVER_MS = 1_000;

/** Server processes of one VM that are remembered as leaving. */
const MAX_LEAVING = 8;

interface Peer {
  address: NodeAddress;
  /** Undefined until a datagram of this process of the node has come. */
  hello: Hello | undefined;
  seq: number;
  configVersion: number;
  heardAt: Millis;
  suspect: boolean;
  /** Server processes of that VM that have been heard to leave, also from earlier processes of the node. */
  leaving: readonly string[];
}

/** What a datagram or the passing of time has changed. */
export interface PeerChange {
  /** The list of nodes or servers is another one. */
  readonly members: boolean;
  /** A node was heard of for the first time, or has started anew. */
  readonly isNew: boolean;
  /** The datagram is older than what is known, so that its load is void. */
  readonly stale: boolean;
}

/** What the passing of time has changed. */
export interface Passing {
  /** The list of nodes is another one. */
  readonly changed: boolean;
  /** Nodes that are gone and whose entries in the store this node is to remove. */
  readonly forgotten: readonly NodeAddress[];
}

const NOTHING: PeerChange = {members: false, isNew: false, stale: false};
const STALE: PeerChange = {members: false, isNew: false, stale: true};

/** Peers by identity. A process of a node replaces only an older one of the same node. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: PeerTableOptions) {}

  /** Takes a node that the store lists. */
  learnListed(now: Millis, address: NodeAddress): void {
    if (address.nodeId === this.options.self.nodeId) return;
    const known = this.peers.get(address.nodeId);
    if (known !== undefined && known.address.bootId >= address.bootId) return;
    const leaving = known?.leaving ?? [];
    this.peers.set(address.nodeId, {...newPeer(now, address), leaving});
  }

  /** Takes a datagram. */
  hear(now: Millis, datagram: Datagram): PeerChange {
    return datagram.type === 'hello'
      ? this.hearHello(now, datagram)
      : this.hearLoad(now, datagram);
  }

  /** Marks nodes that have fallen silent. */
  advance(now: Millis): Passing {
    let changed = false;
    const known = this.peers.size;
    const forgotten: NodeAddress[] = [];
    for (const [nodeId, peer] of this.peers) {
      const silentMs = now - peer.heardAt;
      if (silentMs > (this.options.forgetMs ?? DEFAULT_FORGET_MS)) {
        this.peers.delete(nodeId);
        forgotten.push(peer.address);
        changed = true;
      } else if (!peer.suspect && silentMs > this.suspectMs) {
        peer.suspect = true;
        changed = true;
      }
    }
    return {changed, forgotten: this.isSweeper(known) ? forgotten : []};
  }

  // One node removes what the store holds of lost nodes, and only while it hears most others.
  private isSweeper(known: number): boolean {
    const heard = [...this.peers.values()].filter(peer => !peer.suspect);
    if (heard.length * 2 < known) return false;
    const {nodeId} = this.options.self;
    return heard.every(peer => nodeId < peer.address.nodeId);
  }

  /** All nodes with their servers, as gateways take them. */
  records(): MemberRecord[] {
    const out: MemberRecord[] = [];
    for (const {hello, suspect} of this.peers.values()) {
      if (hello === undefined) continue;
      out.push({
        address: hello.address,
        incarnation: hello.address.bootId,
        version: hello.seq,
        status: suspect || hello.leaving ? 'suspect' : 'alive',
        servers: hello.servers,
      });
    }
    return out;
  }

  /** Nodes to send datagrams to. */
  targets(now: Millis): NodeAddress[] {
    return [...this.peers.values()]
      .filter(peer => now - peer.heardAt <= STILL_TOLD_MS)
      .map(peer => peer.address);
  }

  /** Server processes of a VM that leave, to remind its node of when it has started anew. */
  leavingAt(nodeId: string): readonly string[] {
    return this.peers.get(nodeId)?.leaving ?? [];
  }

  /** A live node with a newer configuration than the given one. */
  holderOfNewer(configVersion: number): NodeAddress | undefined {
    for (const peer of this.peers.values()) {
      if (!peer.suspect && peer.configVersion > configVersion)
        return peer.address;
    }
    return undefined;
  }

  get size(): number {
    return this.peers.size;
  }

  private get suspectMs(): Millis {
    return this.options.suspectMs ?? DEFAULT_SUSPECT_MS;
  }

  private hearHello(now: Millis, hello: Hello): PeerChange {
    const {address} = hello;
    if (address.nodeId === this.options.self.nodeId) return STALE;
    const known = this.peers.get(address.nodeId);
    const isOlder = known !== undefined && isOlderThan(now, hello, known);
    if (isOlder) return STALE;
    const isNew =
      known?.hello === undefined || known.address.bootId !== address.bootId;
    const peer = isNew ? newPeer(now, address) : known;
    peer.leaving = leavingOf(hello, known?.leaving ?? []);
    const members =
      isNew || peer.suspect || describe(peer.hello) !== describe(hello);
    this.peers.set(address.nodeId, peer);
    peer.hello = hello;
    this.touch(now, peer, hello.seq, hello.configVersion);
    return {members, isNew, stale: false};
  }

  private hearLoad(now: Millis, news: LoadNews): PeerChange {
    const peer = this.peers.get(news.nodeId);
    if (peer?.hello === undefined) return STALE;
    if (peer.address.bootId !== news.bootId) return STALE;
    if (news.seq <= peer.seq) return STALE;
    const members = peer.suspect;
    this.touch(now, peer, news.seq, news.configVersion);
    return members ? {...NOTHING, members} : NOTHING;
  }

  private touch(
    now: Millis,
    peer: Peer,
    seq: number,
    configVersion: number,
  ): void {
    peer.seq = seq;
    peer.configVersion = configVersion;
    peer.heardAt = now;
    peer.suspect = false;
  }
}

function newPeer(now: Millis, address: NodeAddress): Peer {
  return {
    address,
    hello: undefined,
    seq: -1,
    configVersion: 0,
    heardAt: now,
    suspect: false,
    leaving: [],
  };
}

function leavingOf(hello: Hello, known: readonly string[]): readonly string[] {
  const more = hello.leavingServers.filter(i => !known.includes(i));
  return more.length === 0 ? known : [...known, ...more].slice(-MAX_LEAVING);
}

// The clock of a VM may have gone back before its node started anew.
function isOlderThan(now: Millis, hello: Hello, peer: Peer): boolean {
  if (hello.address.bootId !== peer.address.bootId) {
    const heardOf = now - peer.heardAt < TAKEOVER_MS;
    return heardOf && hello.address.bootId < peer.address.bootId;
  }
  return hello.seq <= peer.seq;
}

function describe(hello: Hello | undefined): string {
  return JSON.stringify([hello?.leaving, hello?.servers]);
}
