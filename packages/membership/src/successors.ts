/** Selects the nodes that a node monitors in its own failure domain. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/**
 * The `count` nodes that follow a node on its domain's ring, which is ordered by
 * hash. Each node is thereby monitored by as many nodes.
 */
export function successorsOf(
  self: NodeAddress,
  all: readonly NodeAddress[],
  count: number,
): string[] {
  const own = hashText(self.nodeId);
  const placed = all
    .filter(node => node.domain === self.domain && node.nodeId !== self.nodeId)
    .map(({nodeId}) => ({nodeId, distance: (hashText(nodeId) - own) >>> 0}));
  placed.sort(
    (a, b) => a.distance - b.distance || (a.nodeId < b.nodeId ? -1 : 1),
  );
  return placed.slice(0, count).map(entry => entry.nodeId);
}
