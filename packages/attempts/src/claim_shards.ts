/** Storage paths of claims on idempotency keys, and the schedule that removes expired claims shard by shard. */
import {createHash} from 'node:crypto';
import type {Millis} from '@goldcresthill/types';
import type {ClaimRecord} from './key_claim';

/** Shards that claims are stored in; enough to keep the listing of each one short. */
export const CLAIM_SHARD_COUNT = 4_096;
/** Time between the sweeps of two shards, milliseconds; one pass over all shards takes 22.8 hours. */
export const SHARD_SWEEP_INTERVAL_MS = 20_000;

const CLAIMS_PREFIX = 'claims/';

/** Prefix of the paths of all claims in one shard. */
export function shardPrefix(shard: number): string {
  return `${CLAIMS_PREFIX}${shard}/`;
}

/** Path of the object that stores the claim on a key. */
export function claimPath(service: string, key: string): string {
  const digest = createHash('sha256').update(`${service}\0${key}`).digest();
  const shard = digest.readUInt16BE(0) % CLAIM_SHARD_COUNT;
  return `${shardPrefix(shard)}${service}/${encodeURIComponent(key)}`;
}

/** Shard to sweep now; the same on all nodes whose clocks agree. */
export function shardToSweep(wallMs: Millis): number {
  return Math.floor(wallMs / SHARD_SWEEP_INTERVAL_MS) % CLAIM_SHARD_COUNT;
}

/** Whether a claim has reached the retention time of idempotency keys. */
export function isClaimExpired(
  record: Pick<ClaimRecord, 'claimedAtMs'>,
  wallMs: Millis,
  retentionMs: Millis,
): boolean {
  return wallMs - record.claimedAtMs >= retentionMs;
}
