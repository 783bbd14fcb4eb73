/** Removes claims whose retention time has passed. */
import {
  isClaimExpired,
  SHARD_SWEEP_INTERVAL_MS,
  shardToSweep,
  shardPrefix,
} from '@goldcresthill/attempts';
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import * as z from 'zod';

/** Options of ClaimSweeper. */
export interface ClaimSweeperOptions {
  readonly store: ObjectStore;
  readonly timers: Timers;
  /** Time for which a claim is kept, milliseconds. */
  readonly retentionMs: number;
  /** Whether this node sweeps a shard. A shard may safely be swept by two nodes at once. */
  readonly isOwner: (shard: number) => boolean;
  readonly onFault: FaultListener;
}

const claimSchema = z.object({claimedAtMs: z.number()});

/** Sweeps one shard at a time; the shards are divided among the nodes. */
export class ClaimSweeper {
  private readonly cancel: Cancel;
  private removed = 0;

  constructor(private readonly options: ClaimSweeperOptions) {
    this.cancel = options.timers.every(SHARD_SWEEP_INTERVAL_MS, () =>
      runGuarded(options.onFault, () => this.sweepDue()),
    );
  }

  /** Number of claims removed so far. */
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
      // The version protects a claim that another call has replaced since the listing.
      const removal = await store.remove(object.path, object.version);
      // If the store budget is spent or the store is down, the rest is left for the next pass.
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
