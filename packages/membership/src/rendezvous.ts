/** Rendezvous hashing: nodes agree on who does a task without coordination. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/** The `perDomain` reachable nodes of each failure domain with the highest hash, such as those that watch the stored configuration. */
export function watchersOf(
  reachable: readonly NodeAddress[],
  perDomain: number,
): Set<string> {
  const byDomain = new Map<string, NodeAddress[]>();
  for (const node of reachable) {
    const list = byDomain.get(node.domain) ?? [];
    list.push(node);
    byDomain.set(node.domain, list);
  }
  const watchers = new Set<string>();
  for (const list of byDomain.values()) {
    list.sort(byWatchWeight);
    list.slice(0, perDomain).forEach(node => watchers.add(node.nodeId));
  }
  return watchers;
}

/** Number of reachable nodes that replace watchers before a node does; 0 for a watcher. */
export function standbyRankOf(
  self: NodeAddress,
  reachable: readonly NodeAddress[],
  watchers: ReadonlySet<string>,
): number {
  if (watchers.has(self.nodeId)) return 0;
  const weight = watchWeight(self);
  return reachable.filter(
    node => !watchers.has(node.nodeId) && watchWeight(node) > weight,
  ).length;
}

function byWatchWeight(a: NodeAddress, b: NodeAddress): number {
  return watchWeight(b) - watchWeight(a) || (a.nodeId < b.nodeId ? -1 : 1);
}

function watchWeight(node: NodeAddress): number {
  return hashText(`watch|${node.nodeId}`);
}

/** The node that owns the named task: the one with the highest hash. Undefined if none is reachable. */
export function ownerOf(
  name: string,
  reachable: ReadonlyArray<Pick<NodeAddress, 'nodeId'>>,
): string | undefined {
  let owner: string | undefined;
  let highest = -1;
  for (const {nodeId} of reachable) {
    const weight = hashText(`${name}|${nodeId}`);
    if (weight > highest || (weight === highest && nodeId < (owner ?? ''))) {
      owner = nodeId;
      highest = weight;
    }
  }
  return owner;
}
