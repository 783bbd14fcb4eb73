/** Tells a domain that is cut off from many nodes that died. */
import type {MemberRecord} from './member_record';

/** More than this share of a domain unreachable is taken for a cut. */
const CUT_SHARE = 0.5;

/**
 * Whether most of a domain cannot be reached. Nodes known to be dead or to
 * have left do not count. `extra` names a node about to be declared dead.
 */
export function isDomainCut(
  records: readonly MemberRecord[],
  domain: string,
  extra: string | undefined = undefined,
): boolean {
  const counted = records.filter(
    r =>
      r.address.domain === domain && r.status !== 'left' && r.status !== 'dead',
  );
  if (counted.length === 0) return false;
  const suspects = counted.filter(
    r => r.status === 'suspect' || r.address.nodeId === extra,
  );
  return suspects.length > counted.length * CUT_SHARE;
}
