/** Removes claims that are older than keys are remembered. */
import {
  isClaimExpired,
  SHARD_SWEEP_INTERVAL_MS,
  shardToSweep,
  shardPrefix,
} from '@goldcresthill/attempts';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import * as z from 'zod';

/** What a sweeper starts from. */
export interface ClaimSweeperOptions {
  readonly store: ObjectStore;
  readonly timers: Timers;
  readonly retentionMs: number;
  /** Whether this node is the one that sweeps a part. Two that do so are harmless. */
  readonly isOwner: (shard: number) => boolean;
}

const claimSchema = z.object({claimedAtMs: z.number()});

/** Sweeps one part at a time; the parts are divided among the nodes. */
export class ClaimSweeper {
  private readonly cancel: Cancel;
  private removed = 0;

  constructor(private readonly options: ClaimSweeperOptions) {
    this.cancel = options.timers.every(
      SHARD_SWEEP_INTERVAL_MS,
      () => void this.sweepDue(),
    );
  }

  /** Claims removed so far. */
  get claimsRemoved(): number {
    return this.removed;
  }

  close(): void {
    this.cancel();
  }

  private async sweepDue(): Promise<void> {
    const {store, timers, isOwner} = this.options;
    const shard = shardToSweep(timers.wall());
    if (!isOwner(shard)) return;
    const listing = await store.list(shardPrefix(shard));
    if (listing.isErr()) return;
    for (const object of listing.value) {
      if (!this.isExpired(object.value)) continue;
      // The version guards against a claim that was taken over meanwhile.
      const removal = await store.remove(object.path, object.version);
      // What the budget or an outage stops is left for the next pass.
      if (removal.isErr() && removal.error !== 'storeConflict') return;
      if (removal.isOk()) this.removed++;
    }
  }

  private isExpired(text: string): boolean {
    const {timers, retentionMs} = this.options;
    try {
      const claim = claimSchema.parse(JSON.parse(text));
      return isClaimExpired(claim, timers.wall(), retentionMs);
    } catch {
      return false;
    }
  }
}
