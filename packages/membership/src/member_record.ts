/** What the fleet knows of one node. */
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';

/** Whether a node can be reached. Later words win at the same version. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** One node, as spread among members. Only the node itself raises incarnation and version. */
export interface MemberRecord {
  readonly address: NodeAddress;
  /** Rises when the node starts anew. */
  readonly incarnation: number;
  /** Rises when the node changes something or refutes a suspicion. */
  readonly version: number;
  readonly status: MemberStatus;
  readonly servers: readonly ServerRecord[];
  /** Server processes of that VM that have said that they leave, also to earlier processes of the node. */
  readonly leaving?: readonly string[];
}

/** Server processes of one VM that are remembered as leaving; more than end within the time that reports can be late. */
const MAX_LEAVING_INSTANCES = 8;

const STATUS_PRECEDENCE: Record<MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Orders two records of one node; positive if a is newer. A total order, so merging converges. */
export function compareRecords(a: MemberRecord, b: MemberRecord): number {
  return (
    a.incarnation - b.incarnation ||
    a.version - b.version ||
    STATUS_PRECEDENCE[a.status] - STATUS_PRECEDENCE[b.status]
  );
}

/** Whether a record replaces another. */
export function isNewer(a: MemberRecord, b: MemberRecord | undefined): boolean {
  return b === undefined || compareRecords(a, b) > 0;
}

/** Leavings known before and those that are newer, of which the newest are kept. */
export function mergeLeavingInstances(
  known: readonly string[],
  newer: readonly string[],
): readonly string[] {
  const older = known.filter(instance => !newer.includes(instance));
  return [...older, ...newer].slice(-MAX_LEAVING_INSTANCES);
}

/** A record with the leavings of another of the same node, which stay known beyond the process that took them. */
export function withLeavingInstances(
  record: MemberRecord,
  {leaving = []}: Pick<MemberRecord, 'leaving'> = {},
): MemberRecord {
  if (leaving.length === 0) return record;
  return {
    ...record,
    leaving: mergeLeavingInstances(leaving, record.leaving ?? []),
  };
}

/** Whether a record only says that a node is no more. */
export function isTombstone(record: MemberRecord): boolean {
  return record.status === 'dead' || record.status === 'left';
}

/** 32-bit hash of what orders a record. */
export function recordHash(record: MemberRecord): number {
  const {incarnation, version, status} = record;
  return hashText(
    `${record.address.nodeId}:${incarnation}:${version}:${status}`,
  );
}

/** 32-bit FNV-1a hash of a text. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}
