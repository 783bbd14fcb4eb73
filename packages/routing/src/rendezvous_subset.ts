/** Stable subset of a large set of servers, different for each gateway. */
import {createHash} from 'node:crypto';

/** Rendezvous weight of a pair of names. */
export function rendezvousWeight(a: string, b: string): number {
  return createHash('md5')
    .update(a)
    .update('\0')
    .update(b)
    .digest()
    .readUIntBE(0, 6);
}

/**
 * The `size` names with the greatest weight for an owner. A name that leaves
 * changes one place only. Size 0 takes all.
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
