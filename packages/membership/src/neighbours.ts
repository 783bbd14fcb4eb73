/** The few nodes that a node keeps links to. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/** Links by distance. */
export interface NeighbourCounts {
  readonly sameDomain: number;
  readonly otherDomains: number;
  readonly otherRegions: number;
}

/**
 * In its own domain a node takes its successors on a ring ordered by hash, so
 * that every node is watched; elsewhere, the nodes that rank highest for it.
 */
export function neighboursOf(
  self: NodeAddress,
  all: readonly NodeAddress[],
  counts: NeighbourCounts,
): string[] {
  const others = all.filter(node => node.nodeId !== self.nodeId);
  const sameDomain = others.filter(node => node.domain === self.domain);
  const sameRegion = others.filter(
    node => node.domain !== self.domain && node.region === self.region,
  );
  const elsewhere = others.filter(node => node.region !== self.region);
  return [
    ...successors(self.nodeId, sameDomain, counts.sameDomain),
    ...highest(self.nodeId, sameRegion, counts.otherDomains),
    ...highest(self.nodeId, elsewhere, counts.otherRegions),
  ];
}

function successors(
  nodeId: string,
  nodes: readonly NodeAddress[],
  count: number,
): string[] {
  const own = hashText(nodeId);
  const placed = nodes.map(node => ({
    nodeId: node.nodeId,
    distance: (hashText(node.nodeId) - own) >>> 0,
  }));
  placed.sort(
    (a, b) => a.distance - b.distance || (a.nodeId < b.nodeId ? -1 : 1),
  );
  return placed.slice(0, count).map(entry => entry.nodeId);
}

function highest(
  nodeId: string,
  nodes: readonly NodeAddress[],
  count: number,
): string[] {
  const weighted = nodes.map(node => ({
    nodeId: node.nodeId,
    weight: hashText(`${nodeId}|${node.nodeId}`),
  }));
  weighted.sort(
    (a, b) => b.weight - a.weight || (a.nodeId < b.nodeId ? -1 : 1),
  );
  return weighted.slice(0, count).map(entry => entry.nodeId);
}
