/** Follows the evacuations of failure domains in the store. */
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import type {Logger} from '@goldcresthill/logger';
import {EvacuationState, WatchDuty} from '@goldcresthill/membership';
import type {EvacuationNotice} from '@goldcresthill/membership';
import type {
  KindChanges,
  KindList,
  ObjectStore,
  StoreBreaker,
} from '@goldcresthill/object-store';
import {WakeableDelay} from '@goldcresthill/timers';
import type {Timers} from '@goldcresthill/timers';
import type {Millis} from '@goldcresthill/types';

/** Options of EvacuationFollower. */
export interface EvacuationFollowerOptions {
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly logger: Logger;
  /** Kind of the objects, each of which is named after a domain. */
  readonly kind: string;
  /** Time from the acknowledgement of an evacuation until all nodes keep it, milliseconds. */
  readonly boundMs: Millis;
  /** Returns the domains of which this node knows a node. */
  readonly knownDomains: () => ReadonlySet<string>;
  /** The evacuated domains are known, or have changed. */
  readonly onChange: (domains: readonly string[]) => void;
  /** Others are to be told of a change, which is known from the store or from another node. */
  readonly onNews: (source: 'store' | 'peer') => void;
  readonly onFault: FaultListener;
}

/** Age of the newest answer beyond which a node reads the store by itself, as a fraction of the bound. The rest is for turns, a call that fails and the spreading. */
const MAX_AGE_FRACTION = 0.6;
/** Age of the newest answer beyond which a watcher whose turn it is asks the store, as a fraction of the bound. */
const REFRESH_AGE_FRACTION = 0.15;
/** Time before the end of a watcher's turn at which it asks, so that what it tells at the end is new, milliseconds. */
const REFRESH_LEAD_MS = 100;
/** Longest watch, milliseconds; shorter than the longest wait that the store allows. */
const MAX_WATCH_MS = 25_000;
/** Longest time until a node checks again whether to read or watch, milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Shortest time between two attempts to write the objects that a restored store has lost, milliseconds. */
const REWRITE_INTERVAL_MS = 1_000;
/** Most domains that are kept, so that what nodes tell each other fits into a datagram. */
const MAX_DOMAINS = 32;
const MAX_NAME_LENGTH = 64;
/** All notices concern the newest list, so the duty to watch needs no revisions. */
const ANY_REVISION = 0;

/**
 * Chosen watchers watch the kind and, in turn, ask the store for changes shortly
 * before they confirm the configuration to the others, with which they tell what
 * they know. Each other node reads the store only when it starts, and when what
 * it was told is too old. An open watch proves nothing.
 */
export class EvacuationFollower {
  private readonly state = new EvacuationState();
  private readonly duty: WatchDuty;
  private readonly readDelay: WakeableDelay;
  private readonly watchDelay: WakeableDelay;
  private readonly unsubscribeRestored: () => void;
  /** Whether the history since the newest list is gone. */
  private isHistoryGone = false;
  private isRefreshing = false;
  private rewrittenAt: Millis = -Infinity;
  private reported = '';
  private closed = false;

  constructor(private readonly options: EvacuationFollowerOptions) {
    const {timers, store, boundMs} = options;
    this.duty = new WatchDuty(timers.now(), {
      maxAgeMs: boundMs * MAX_AGE_FRACTION,
    });
    this.readDelay = new WakeableDelay(timers);
    this.watchDelay = new WakeableDelay(timers);
    this.unsubscribeRestored = store.onRestored(() => this.onRestored());
  }

  /** Reads the list and follows its changes until closed. */
  async start(): Promise<void> {
    await Promise.all([
      this.repeat(this.readDelay, () => this.readIfDue()),
      this.repeat(this.watchDelay, () => this.watchIfDue()),
    ]);
  }

  /** Evacuated domains; undefined before anything is known. */
  get domains(): readonly string[] | undefined {
    return this.state.domains;
  }

  /** What this node tells others; undefined before anything is known. */
  get notice(): EvacuationNotice | undefined {
    return this.state.notice(this.options.timers.now());
  }

  /** Records what another node tells. */
  recordNotice(notice: EvacuationNotice): void {
    const now = this.options.timers.now();
    if (!this.state.recordNotice(now, notice)) return;
    const {ageMs} = notice;
    this.duty.recordConfirmation(now, {revision: ANY_REVISION, ageMs});
    this.reportChange('peer');
  }

  /** Sets whether this node is a chosen watcher, and how long it leaves it to others to read the store first, milliseconds. */
  setDuty(chosen: boolean, turnDelayMs: Millis): void {
    this.duty.setChosen(chosen);
    this.duty.setTurnDelay(turnDelayMs);
    this.watchDelay.wake();
  }

  /** Sets that this node leaves, so that others tell it nothing more. */
  setLeaving(): void {
    this.duty.setLeaving();
    this.watchDelay.wake();
  }

  /** This node will tell the others at the end of a turn that takes so long, milliseconds. */
  onTurn(turnMs: Millis): void {
    const {timers, onFault} = this.options;
    timers.after(Math.max(0, turnMs - REFRESH_LEAD_MS), () =>
      runGuarded(onFault, () => this.refresh()),
    );
  }

  close(): void {
    this.closed = true;
    this.readDelay.wake();
    this.watchDelay.wake();
    this.unsubscribeRestored();
  }

  private async repeat(
    delay: WakeableDelay,
    run: () => Promise<Millis>,
  ): Promise<void> {
    while (!this.closed) {
      const waitMs = await run().catch(err => this.recordFault(err));
      if (waitMs > 0) await delay.wait(waitMs);
    }
  }

  private recordFault(err: unknown): Millis {
    this.options.onFault(err);
    return this.recordNoAnswer();
  }

  private async readIfDue(): Promise<Millis> {
    const {breaker, timers, store, kind} = this.options;
    const now = timers.now();
    const isDueAnyway = this.state.domains === undefined || this.isHistoryGone;
    const dueMs = isDueAnyway ? 0 : this.duty.msUntilRead(now);
    if (dueMs > 0) return Math.min(dueMs, CHECK_INTERVAL_MS);
    if (!breaker.allows(now)) return breaker.waitMs(now);
    const read = await store.listKind(kind);
    if (this.closed) return 0;
    if (read.isErr()) return this.recordNoAnswer();
    this.isHistoryGone = false;
    this.recordList(now, read.value);
    this.watchDelay.wake();
    return 0;
  }

  private async watchIfDue(): Promise<Millis> {
    const {breaker, timers} = this.options;
    const now = timers.now();
    if (!this.duty.isWatcher(now) || !this.mayWatch) return CHECK_INTERVAL_MS;
    if (!breaker.allows(now)) return breaker.waitMs(now);
    return this.watch(MAX_WATCH_MS);
  }

  // Asks for changes without waiting for any.
  private async refresh(): Promise<void> {
    const {timers, boundMs, breaker} = this.options;
    const now = timers.now();
    const isDue = this.state.ageMs(now) > boundMs * REFRESH_AGE_FRACTION;
    if (!isDue || this.isRefreshing || !this.mayWatch || this.closed) return;
    if (!breaker.allows(now)) return;
    this.isRefreshing = true;
    try {
      await this.watch(0);
    } finally {
      this.isRefreshing = false;
    }
  }

  private get mayWatch(): boolean {
    const revision = this.state.revisionIn(this.options.store.era);
    return revision !== undefined && !this.isHistoryGone;
  }

  private async watch(waitMs: Millis): Promise<Millis> {
    const {timers, store, kind} = this.options;
    const revision = this.state.revisionIn(store.era);
    if (revision === undefined) return CHECK_INTERVAL_MS;
    const askedAt = timers.now();
    const listed = this.state.listedDomains;
    const watched = await store.watchKind(kind, revision, waitMs);
    if (this.closed) return 0;
    if (watched.isErr()) return this.recordNoAnswer();
    if (watched.value === undefined) {
      this.isHistoryGone = true;
      this.readDelay.wake();
      return CHECK_INTERVAL_MS;
    }
    const {changes, unreadable} = watched.value;
    // A process that stood still reads the answer late, and the time of a change is not known.
    const asOf =
      changes.length === 0 ? Math.min(timers.now(), askedAt + waitMs) : askedAt;
    const names = applyChanges(listed, watched.value);
    this.recordList(asOf, {...watched.value, names, unreadable});
    return 0;
  }

  private recordList(asOf: Millis, list: KindList): void {
    const {breaker, timers} = this.options;
    breaker.succeed();
    const {era, revision, names, unreadable} = list;
    // An entry that cannot be read may be one that is known.
    const kept = unreadable > 0 ? this.state.listedDomains : [];
    const domains = this.usableNames([...new Set([...names, ...kept])]);
    this.state.recordList(asOf, {era, revision, domains});
    this.duty.recordAnswer(timers.now(), asOf);
    if (unreadable > 0)
      this.options.logger.warn('evacuationsUnreadable', {entries: unreadable});
    this.reportChange('store');
    this.rewriteLost();
  }

  private usableNames(names: readonly string[]): string[] {
    const known = this.options.knownDomains();
    const usable = names
      .filter(name => name.length <= MAX_NAME_LENGTH)
      .sort((a, b) => Number(known.has(b)) - Number(known.has(a)))
      .slice(0, MAX_DOMAINS);
    const ignored = names.length - usable.length;
    if (ignored > 0) this.options.logger.warn('evacuationsIgnored', {ignored});
    return usable;
  }

  private recordNoAnswer(): Millis {
    const {breaker, timers} = this.options;
    const now = timers.now();
    breaker.fail(now);
    this.duty.recordFailure(now);
    return breaker.waitMs(now);
  }

  // Other nodes hear of it from the watchers.
  private onRestored(): void {
    if (!this.duty.isWatcher(this.options.timers.now())) return;
    this.isHistoryGone = true;
    this.readDelay.wake();
  }

  private reportChange(source: 'store' | 'peer'): void {
    const domains = this.state.domains ?? [];
    const lost = this.state.lostDomains;
    const report = JSON.stringify([domains, lost]);
    if (report === this.reported) return;
    const isFirstWithout = this.reported === '' && domains.length === 0;
    this.reported = report;
    this.options.onChange(domains);
    if (isFirstWithout) return;
    this.logChange(domains, lost, source);
    this.options.onNews(source);
  }

  private logChange(
    domains: readonly string[],
    lost: readonly string[],
    source: 'store' | 'peer',
  ): void {
    const {logger, store, knownDomains} = this.options;
    const known = knownDomains();
    const unknown = domains.filter(name => !known.has(name));
    const isAll = [...known].every(name => domains.includes(name));
    logger.warn('evacuations', {domains, source, storeEra: store.era});
    if (unknown.length > 0)
      logger.warn('evacuationOfUnknownDomain', {domains: unknown});
    if (isAll && domains.length > 0)
      logger.warn('evacuationOfAllDomains', {domains});
    if (lost.length > 0) logger.warn('evacuationLostByStore', {domains: lost});
  }

  // Operators can end an evacuation only by removing its object.
  private rewriteLost(): void {
    const {timers, store, kind, logger, onFault} = this.options;
    const now = timers.now();
    const lost = this.state.lostDomains;
    if (lost.length === 0 || now - this.rewrittenAt < REWRITE_INTERVAL_MS)
      return;
    this.rewrittenAt = now;
    runGuarded(onFault, async () => {
      for (const domain of lost) {
        const written = await store.create(`${kind}/${domain}`, '{}');
        logger.warn('evacuationRewritten', {domain, isWritten: written.isOk()});
      }
      this.isHistoryGone = true;
      this.readDelay.wake();
    });
  }
}

function applyChanges(
  listed: readonly string[],
  {changes}: KindChanges,
): string[] {
  const names = new Set(listed);
  for (const {name, removed} of changes) {
    if (removed) names.delete(name);
    else names.add(name);
  }
  return [...names];
}
