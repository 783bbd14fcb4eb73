/** Which claims on idempotency keys are old enough to go, and who removes them when. */
import {createHash} from 'node:crypto';
import type {Millis} from '@goldcresthill/types';
import type {ClaimRecord} from './key_claim';

/** Parts that claims are kept in, so that none of them is long to list. */
export const CLAIM_SHARD_COUNT = 4_096;
/** Time given to each part; one pass over all takes 22.8 hours. */
export const SHARD_SWEEP_INTERVAL_MS = 20_000;

const CLAIMS_PREFIX = 'claims/';

/** Prefix of all claims of one part. */
export function shardPrefix(shard: number): string {
  return `${CLAIMS_PREFIX}${shard}/`;
}

/** Path of the object that holds the claim on a key. */
export function claimPath(service: string, key: string): string {
  const digest = createHash('sha256').update(`${service}\0${key}`).digest();
  const shard = digest.readUInt16BE(0) % CLAIM_SHARD_COUNT;
  return `${shardPrefix(shard)}${service}/${encodeURIComponent(key)}`;
}

/** Part whose turn it is, the same at all nodes whose clocks agree. */
export function shardToSweep(wallMs: Millis): number {
  return Math.floor(wallMs / SHARD_SWEEP_INTERVAL_MS) % CLAIM_SHARD_COUNT;
}

/** Whether a claim has been held for as long as keys are remembered. */
export function isClaimExpired(
  record: Pick<ClaimRecord, 'claimedAtMs'>,
  wallMs: Millis,
  retentionMs: Millis,
): boolean {
  return wallMs - record.claimedAtMs >= retentionMs;
}
