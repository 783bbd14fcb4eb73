/** Tells a node that is itself cut off from many nodes that died. */
import type {MemberRecord} from './member_record';

/** More than this share of the own domain unreachable means that this node is cut off. */
const CUT_SUSPECT_SHARE = 0.5;

/**
 * Whether most of a domain cannot be reached. Nodes known to be dead or to
 * have left do not count. `extra` names a node about to be declared dead.
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
