/** Claims that this gateway wrote recently, which a store restored from an older copy may have lost. */
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import {StoreBreaker} from '@goldcresthill/object-store';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {Timers} from '@goldcresthill/timers';
import type {Millis} from '@goldcresthill/types';

/** Options of RecentClaims. */
export interface RecentClaimsOptions {
  readonly store: ObjectStore;
  readonly timers: Timers;
  readonly random?: () => number;
  /** Another call has claimed the key since the restore, so both may have run. */
  readonly onTaken: (path: string) => void;
  readonly onFault: FaultListener;
}

interface RecentClaim {
  readonly path: string;
  readonly text: string;
  readonly writtenAt: Millis;
}

/** Time for which a claim is kept to be written again, milliseconds; longer than the age of the copies from which a store is restored. */
const RETENTION_MS = 60_000;
/** Claims beyond which the oldest are dropped. */
const MAX_CLAIMS = 20_000;
/** Largest random delay before the first claim is written, milliseconds, because all gateways notice a restore at the same time. */
const SPREAD_MS = 1_000;

/** Writes the recent claims again when the store was restored. Until then a key that was claimed in the lost span can be claimed again. */
export class RecentClaims {
  private readonly claims: RecentClaim[] = [];
  private readonly unsubscribeRestored: () => void;
  private readonly random: () => number;
  private readonly breaker: StoreBreaker;
  private pass = 0;

  constructor(private readonly options: RecentClaimsOptions) {
    this.random = options.random ?? Math.random;
    this.breaker = new StoreBreaker({random: this.random});
    this.unsubscribeRestored = options.store.onRestored(() =>
      runGuarded(options.onFault, () => this.writeAll()),
    );
  }

  /** Records a claim that is in the store. */
  add(path: string, text: string): void {
    const now = this.options.timers.now();
    this.claims.push({path, text, writtenAt: now});
    const firstKept = this.claims.findIndex(
      ({writtenAt}) => now - writtenAt < RETENTION_MS,
    );
    this.claims.splice(0, Math.max(firstKept, this.claims.length - MAX_CLAIMS));
  }

  close(): void {
    this.unsubscribeRestored();
    this.pass++;
  }

  // The newest claims come first, as the copy is more likely to contain the older ones.
  private async writeAll(): Promise<void> {
    const {timers} = this.options;
    const pass = ++this.pass;
    await timers.sleep(this.random() * SPREAD_MS);
    for (const claim of [...this.claims].reverse()) {
      while (pass === this.pass && !(await this.write(claim))) {
        this.breaker.fail(timers.now());
        await timers.sleep(this.breaker.waitMs(timers.now()));
      }
      this.breaker.succeed();
    }
  }

  private async write({path, text}: RecentClaim): Promise<boolean> {
    const creation = await this.options.store.create(path, text);
    if (creation.isErr()) return false;
    const {created, object} = creation.value;
    if (!created && object.value !== text) this.options.onTaken(path);
    return true;
  }
}
