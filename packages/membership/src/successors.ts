/** The nodes that a node watches in its own failure domain. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/**
 * The `count` nodes of the own domain that follow a node on a ring ordered by
 * hash, so that each node is watched by as many.
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
