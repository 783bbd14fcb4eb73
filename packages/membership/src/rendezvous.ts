/** Which nodes watch the configuration in the platform's service. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/** The `count` reachable nodes of each domain with the greatest hash. */
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
    list.sort(
      (a, b) =>
        watchWeight(b) - watchWeight(a) || (a.nodeId < b.nodeId ? -1 : 1),
    );
    list.slice(0, perDomain).forEach(node => watchers.add(node.nodeId));
  }
  return watchers;
}

function watchWeight(node: NodeAddress): number {
  return hashText(`watch|${node.nodeId}`);
}

/** The node that is to do a task of this name: the one with the greatest hash. */
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
