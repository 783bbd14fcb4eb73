/** Connections from this gateway to the gates of other nodes. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {NodeAddress} from '@goldcresthill/types';
import {Client, Pool} from 'undici';

const CONNECT_TIMEOUT_MS = 500;
const IDLE_CONNECTION_MS = 20_000;

interface Link {
  readonly address: NodeAddress;
  pool: Pool;
}

/** One pool for each node; a pool is renewed when its connections fall silent. */
export class GateLinks {
  private readonly links = new Map<string, Link>();

  /** Takes the members; links to those that are gone are closed. */
  update(records: readonly MemberRecord[]): void {
    const seen = new Set<string>();
    for (const record of records) {
      if (record.status === 'dead' || record.status === 'left') continue;
      seen.add(record.address.nodeId);
      this.open(record.address);
    }
    for (const nodeId of [...this.links.keys()]) {
      if (!seen.has(nodeId)) this.drop(nodeId);
    }
  }

  get(nodeId: string): Link | undefined {
    return this.links.get(nodeId);
  }

  /** Gives up the connections to a node; the next call opens new ones. */
  renew(nodeId: string): void {
    const link = this.links.get(nodeId);
    if (link === undefined) return;
    void link.pool.close().catch(() => undefined);
    link.pool = newPool(link.address);
  }

  async close(): Promise<void> {
    const pools = [...this.links.values()].map(link => link.pool.destroy());
    this.links.clear();
    await Promise.all(pools);
  }

  private open(address: NodeAddress): void {
    const known = this.links.get(address.nodeId);
    if (known !== undefined && sameProcess(known.address, address)) return;
    if (known !== undefined) this.drop(address.nodeId);
    this.links.set(address.nodeId, {address, pool: newPool(address)});
  }

  private drop(nodeId: string): void {
    const link = this.links.get(nodeId);
    this.links.delete(nodeId);
    // Exchanges under way still end by themselves.
    void link?.pool.close().catch(() => undefined);
  }
}

/** A connection of its own, for questions about exchanges on others. */
export function freshClient(host: string, port: number): Client {
  return new Client(`http://${host}:${port}`, {
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
}

function newPool(address: NodeAddress): Pool {
  return new Pool(`http://${address.host}:${address.dataPort}`, {
    connections: null,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    keepAliveTimeout: IDLE_CONNECTION_MS,
  });
}

function sameProcess(a: NodeAddress, b: NodeAddress): boolean {
  return (
    a.bootId === b.bootId && a.host === b.host && a.dataPort === b.dataPort
  );
}
