/** Subsetting by rendezvous hashing: a stable subset of the servers for each gateway. */
import {createHash} from 'node:crypto';

/** Weight of a pair of names in rendezvous hashing, an integer of 48 bits. */
export function rendezvousWeight(a: string, b: string): number {
  return createHash('md5')
    .update(a)
    .update('\0')
    .update(b)
    .digest()
    .readUIntBE(0, 6);
}

/**
 * Returns the `size` names with the greatest weight for a gateway, or all names
 * if `size` is 0. Removing a name replaces at most one member of the subset.
 */
export function rendezvousSubset(
  gatewayNodeId: string,
  names: readonly string[],
  size: number,
): string[] {
  if (size === 0 || names.length <= size) return [...names];
  const weighted = names.map(name => ({
    name,
    weight: rendezvousWeight(gatewayNodeId, name),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
  return weighted.slice(0, size).map(entry => entry.name);
}
