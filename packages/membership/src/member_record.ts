/** The replicated record of one node, its order and its hash. */
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';

/** Liveness of a node. At the same version the status that comes later in this list wins. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** State of one node, replicated to all members. Only the node itself raises incarnation and version. */
export interface MemberRecord {
  readonly address: NodeAddress;
  /** Raised when the node restarts. */
  readonly incarnation: number;
  /** Raised when the node changes its record or refutes a suspicion. */
  readonly version: number;
  readonly status: MemberStatus;
  readonly servers: readonly ServerRecord[];
  /** Server processes of that VM that announced that they are leaving, also to earlier processes of the node. */
  readonly leaving?: readonly string[];
}

/** Leaving server processes remembered per VM; more than can end within the time that reports can be late. */
const MAX_LEAVING_INSTANCES = 8;

const STATUS_PRECEDENCE: Record<MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Compares two records of one node; positive if a is newer. The order is total, so merging converges. */
export function compareRecords(a: MemberRecord, b: MemberRecord): number {
  return (
    a.incarnation - b.incarnation ||
    a.version - b.version ||
    STATUS_PRECEDENCE[a.status] - STATUS_PRECEDENCE[b.status]
  );
}

/** Whether record a replaces record b. */
export function isNewer(a: MemberRecord, b: MemberRecord | undefined): boolean {
  return b === undefined || compareRecords(a, b) > 0;
}

/** Union of two lists of leaving server processes, oldest first, limited to the newest. */
export function mergeLeavingInstances(
  known: readonly string[],
  newer: readonly string[],
): readonly string[] {
  const older = known.filter(instance => !newer.includes(instance));
  return [...older, ...newer].slice(-MAX_LEAVING_INSTANCES);
}

/**
 * Adds the leaving server processes of another record of the same node, because
 * they outlast the node process that received the announcement.
 */
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

/** Whether a record is kept only to mark its node as dead or departed. */
export function isTombstone(record: MemberRecord): boolean {
  return record.status === 'dead' || record.status === 'left';
}

/** 32-bit hash of the node's id and the fields that order its records. */
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
