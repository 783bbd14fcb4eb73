/** Connections from this gateway to the gates of other nodes. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {NodeAddress} from '@goldcresthill/types';
import {Client, Pool} from 'undici';
import {createConnector} from '../http/connector';

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/** Way to the gate of one node. */
export interface GateLink {
  readonly address: NodeAddress;
  readonly pool: Pool;
}

/** One pool for each node that is used; a pool is renewed when its connections fall silent. */
export class GateLinks {
  private readonly addresses = new Map<string, NodeAddress>();
  /** Addresses as members tell them. */
  private readonly memberAddresses = new Map<string, NodeAddress>();
  private readonly pools = new Map<string, Pool>();

  /** Takes the members; links to those that are gone are closed. */
  update(records: readonly MemberRecord[]): void {
    const seen = new Set<string>();
    for (const record of records) {
      if (record.status === 'dead' || record.status === 'left') continue;
      seen.add(record.address.nodeId);
      this.applyMemberAddress(record.address);
    }
    for (const nodeId of [...this.addresses.keys()]) {
      if (seen.has(nodeId)) continue;
      this.addresses.delete(nodeId);
      this.memberAddresses.delete(nodeId);
      this.closePool(nodeId);
    }
  }

  addressOf(nodeId: string): NodeAddress | undefined {
    return this.addresses.get(nodeId);
  }

  /** A node has said by itself which process of it runs. */
  recordBootId(nodeId: string, bootId: number): void {
    const known = this.addresses.get(nodeId);
    if (known === undefined || known.bootId === bootId) return;
    this.addresses.set(nodeId, {...known, bootId});
    this.closePool(nodeId);
  }

  /** The link to a node, opened when first asked for. */
  get(nodeId: string): GateLink | undefined {
    const address = this.addresses.get(nodeId);
    if (address === undefined) return undefined;
    const pool = this.pools.get(nodeId) ?? createPool(address);
    this.pools.set(nodeId, pool);
    return {address, pool};
  }

  /** Gives up the connections to a node; the next call opens new ones. */
  closePool(nodeId: string): void {
    // Exchanges under way still end by themselves.
    void this.pools
      .get(nodeId)
      ?.close()
      .catch(() => undefined);
    this.pools.delete(nodeId);
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()].map(pool => pool.destroy());
    this.pools.clear();
    this.addresses.clear();
    await Promise.all(pools);
  }

  // What members say of a process may be older than what the node has said by itself.
  private applyMemberAddress(address: NodeAddress): void {
    const {nodeId} = address;
    const memberAddress = this.memberAddresses.get(nodeId);
    if (memberAddress !== undefined && isSameProcess(memberAddress, address))
      return;
    this.memberAddresses.set(nodeId, address);
    const known = this.addresses.get(nodeId);
    this.addresses.set(nodeId, address);
    if (known !== undefined && !isSameProcess(known, address)) {
      this.closePool(nodeId);
    }
  }
}

/** A connection of its own, for questions about exchanges on others. */
export function createQueryClient(host: string, port: number): Client {
  return new Client(`http://${host}:${port}`, {
    connect: createConnector(CONNECT_TIMEOUT_MS),
  });
}

function createPool(address: NodeAddress): Pool {
  return new Pool(`http://${address.host}:${address.dataPort}`, {
    connections: null,
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  });
}

function isSameProcess(a: NodeAddress, b: NodeAddress): boolean {
  return (
    a.bootId === b.bootId && a.host === b.host && a.dataPort === b.dataPort
  );
}
