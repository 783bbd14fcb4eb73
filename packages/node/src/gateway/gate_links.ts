/** Connections from this gateway to the gates of other nodes. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {NodeAddress} from '@goldcresthill/types';
import {Client, Pool} from 'undici';
import {createConnector} from '../http/connector';
import type {CrossDomainTraffic} from '../peers/cross_domain_traffic';

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/** Address of a node and the pool of connections to its gate. */
export interface GateLink {
  readonly address: NodeAddress;
  readonly pool: Pool;
}

/** Connection pools, one for each node that calls are sent to; a pool is replaced once its connections stop answering. */
export class GateLinks {
  private readonly addresses = new Map<string, NodeAddress>();
  /** Last addresses published by the membership; `addresses` may hold a newer boot ID. */
  private readonly memberAddresses = new Map<string, NodeAddress>();
  private readonly pools = new Map<string, Pool>();

  /** Requests to other failure domains are counted in `traffic`. */
  constructor(private readonly traffic?: CrossDomainTraffic) {}

  /** Applies the member records and closes the links to nodes that are dead, have left or are no longer listed. */
  update(records: readonly MemberRecord[]): void {
    const activeNodeIds = new Set<string>();
    for (const record of records) {
      if (record.status === 'dead' || record.status === 'left') continue;
      activeNodeIds.add(record.address.nodeId);
      this.applyMemberAddress(record.address);
    }
    for (const nodeId of [...this.addresses.keys()]) {
      if (activeNodeIds.has(nodeId)) continue;
      this.addresses.delete(nodeId);
      this.memberAddresses.delete(nodeId);
      this.closePool(nodeId);
    }
  }

  addressOf(nodeId: string): NodeAddress | undefined {
    return this.addresses.get(nodeId);
  }

  /** Records the boot ID that a node itself has reported; it takes precedence over the membership's. */
  recordBootId(nodeId: string, bootId: number): void {
    const current = this.addresses.get(nodeId);
    if (current === undefined || current.bootId === bootId) return;
    this.addresses.set(nodeId, {...current, bootId});
    this.closePool(nodeId);
  }

  /** Returns the link to a node, with a pool created at the first use; undefined if the node is unknown. */
  get(nodeId: string): GateLink | undefined {
    const address = this.addresses.get(nodeId);
    if (address === undefined) return undefined;
    const pool = this.pools.get(nodeId) ?? createPool(address, this.traffic);
    this.pools.set(nodeId, pool);
    return {address, pool};
  }

  /** Closes the pool of a node; the next call creates a new one. */
  closePool(nodeId: string): void {
    // Exchanges in progress still complete; each of them reports its own error.
    this.pools
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

  // The membership's boot ID may be older than the one reported by the node itself, so an unchanged record is ignored.
  private applyMemberAddress(address: NodeAddress): void {
    const {nodeId} = address;
    const memberAddress = this.memberAddresses.get(nodeId);
    if (memberAddress !== undefined && isSameProcess(memberAddress, address))
      return;
    this.memberAddresses.set(nodeId, address);
    const previous = this.addresses.get(nodeId);
    this.addresses.set(nodeId, address);
    if (previous !== undefined && !isSameProcess(previous, address)) {
      this.closePool(nodeId);
    }
  }
}

/** Creates a client with its own connection, for queries about exchanges on the pooled ones. */
export function createQueryClient(host: string, port: number): Client {
  return new Client(`http://${host}:${port}`, {
    connect: createConnector(CONNECT_TIMEOUT_MS),
  });
}

function createPool(
  address: NodeAddress,
  traffic: CrossDomainTraffic | undefined,
): Pool {
  return new Pool(`http://${address.host}:${address.dataPort}`, {
    connections: null,
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS, socket =>
      traffic?.watchRequests(address.domain, socket),
    ),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  });
}

function isSameProcess(a: NodeAddress, b: NodeAddress): boolean {
  return (
    a.bootId === b.bootId && a.host === b.host && a.dataPort === b.dataPort
  );
}
