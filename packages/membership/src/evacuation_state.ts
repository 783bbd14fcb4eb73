/** What a node knows of the failure domains that are evacuated, and how it merges what others know. */
import type {Millis} from '@goldcresthill/types';

/** The evacuations in the store at one of its revisions. */
export interface EvacuationList {
  /** Era of the store; revisions are compared within one only. */
  readonly era: number;
  readonly revision: number;
  /** Names of the domains. */
  readonly domains: readonly string[];
}

/** What a node tells others. */
export interface EvacuationNotice extends EvacuationList {
  /** Time since the store was in that state, milliseconds. */
  readonly ageMs: Millis;
  /** Domains whose objects the store lost when it came back from an older copy. */
  readonly lost: readonly string[];
  /** Domains of which the store had lost the object, and has had it again since. */
  readonly recovered: readonly string[];
}

interface Held {
  readonly era: number;
  readonly revision: number;
  readonly listed: ReadonlySet<string>;
  readonly lost: ReadonlySet<string>;
  readonly recovered: ReadonlySet<string>;
}

/**
 * The newest list of evacuations that this node knows of. A list of a later era
 * or revision replaces an earlier one. A domain that was evacuated when the store
 * came back from an older copy without its object stays evacuated until the
 * object has been written again, and is then removed like any other.
 */
export class EvacuationState {
  private held: Held | undefined;
  private confirmedAt: Millis = -Infinity;

  /** Evacuated domains in the order of their names; undefined before anything is known. */
  get domains(): readonly string[] | undefined {
    if (this.held === undefined) return undefined;
    const {listed, lost} = this.held;
    return [...listed, ...lost].sort();
  }

  /** Evacuated domains whose objects the store has lost. */
  get lostDomains(): readonly string[] {
    return [...(this.held?.lost ?? [])];
  }

  /** Revision from which changes are to be watched; undefined if there is none in this era. */
  revisionIn(era: number): number | undefined {
    return this.held?.era === era ? this.held.revision : undefined;
  }

  /** Domains that the store had in the newest list. */
  get listedDomains(): readonly string[] {
    return [...(this.held?.listed ?? [])];
  }

  /** Time since the store had the newest list, milliseconds; infinite before anything is known. */
  ageMs(now: Millis): Millis {
    return now - this.confirmedAt;
  }

  /** What this node tells others; undefined before anything is known. */
  notice(now: Millis): EvacuationNotice | undefined {
    if (this.held === undefined) return undefined;
    const {era, revision, listed, lost, recovered} = this.held;
    return {
      era,
      revision,
      domains: [...listed],
      ageMs: Math.max(0, this.ageMs(now)),
      lost: [...lost],
      recovered: [...recovered],
    };
  }

  /** Records a list that the store returned; `asOf` is a time before which it was not outdated. Returns whether it counts. */
  recordList(asOf: Millis, list: EvacuationList): boolean {
    return this.merge(asOf, {...list, lost: [], recovered: []});
  }

  /** Records what another node tells. Returns whether it counts, rather than being outdated. */
  recordNotice(now: Millis, notice: EvacuationNotice): boolean {
    return this.merge(now - Math.max(0, notice.ageMs), notice);
  }

  private merge(asOf: Millis, news: Omit<EvacuationNotice, 'ageMs'>): boolean {
    const {held} = this;
    if (held !== undefined && isOlder(news, held)) return false;
    const listed = new Set(news.domains);
    const isNewEra = held !== undefined && news.era > held.era;
    const known = isNewEra ? [...held.listed, ...held.lost] : [];
    const lostBefore = [...(held?.lost ?? []), ...news.lost, ...known];
    const recovered = new Set([
      ...(isNewEra ? [] : (held?.recovered ?? [])),
      ...news.recovered,
      ...lostBefore.filter(name => listed.has(name)),
    ]);
    const lost = new Set(
      lostBefore.filter(name => !listed.has(name) && !recovered.has(name)),
    );
    const isSameList =
      held !== undefined && !isNewEra && isSameSet(held.listed, listed);
    this.confirmedAt = isSameList ? Math.max(this.confirmedAt, asOf) : asOf;
    const {era, revision} = news;
    this.held = {era, revision, listed, lost, recovered};
    return true;
  }
}

function isOlder(
  {era, revision}: Pick<EvacuationList, 'era' | 'revision'>,
  held: Held,
): boolean {
  return era < held.era || (era === held.era && revision < held.revision);
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every(name => b.has(name));
}
