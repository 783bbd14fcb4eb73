/** Distinguishes a network cut around this node from the death of many nodes. */
import type {MemberRecord} from './member_record';

/** If more than this share of its own failure domain is unreachable, a node considers itself cut off. */
const CUT_SUSPECT_SHARE = 0.5;

/**
 * Whether most nodes of a domain are unreachable. Nodes known to be dead or to
 * have left do not count. `candidate` is the id of a node about to be declared
 * dead, which counts as unreachable.
 */
export function isMostlySuspect(
  records: readonly MemberRecord[],
  domain: string,
  candidate: string,
): boolean {
  const counted = records.filter(
    r =>
      r.address.domain === domain && r.status !== 'left' && r.status !== 'dead',
  );
  const suspects = counted.filter(
    r => r.status === 'suspect' || r.address.nodeId === candidate,
  );
  return suspects.length > counted.length * CUT_SUSPECT_SHARE;
}
