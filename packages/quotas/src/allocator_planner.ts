/** Decides when the list of allocators is to be replaced, by whom, and by which list. */
import {ownerOf, watchersOf} from '@goldcresthill/membership';
import type {Millis, NodeAddress} from '@goldcresthill/types';
import type {AllocatorList} from './allocator_list';

/** What a node knows of the fleet. */
export interface FleetView {
  /** Nodes that are believed to be alive and reachable, including this one. */
  readonly reachable: readonly NodeAddress[];
  /** Nodes that have not left, alive or not. */
  readonly knownCount: number;
  /** Newest era of the store that this node knows. */
  readonly storeEra: number;
  /** Whether this node knows a node, reachable or not; by default it knows all. */
  readonly isKnown?: (nodeId: string) => boolean;
}

/** Options of AllocatorPlanner. */
export interface AllocatorPlannerOptions {
  readonly nodeId: string;
  /** Shortest time between two lists, milliseconds; see QuotaTerms. */
  readonly leaseMs: Millis;
  /** Allocators of each failure domain. */
  readonly perDomain?: number;
}

/** Two, so that one of a domain may fail; each more makes the accounts fewer that a failure concerns. */
const ALLOCATORS_PER_DOMAIN = 2;
/** Part of the candidates below which nodes are added to a list whose allocators are all well. Accounts that move are refused for a lease. */
const MIN_LISTED_SHARE = 0.5;
/** Time for which an allocator is missing before it is replaced, milliseconds; a few lost datagrams must not cost its accounts a lease. */
const REPLACE_DELAY_MS = 1_000;
/** Time after which a list is written that only adds nodes, or lacks nodes that the writer does not know, milliseconds; the fleet may still be starting. */
const GROWTH_DELAY_MS = 10_000;
/** Time after which nodes that reach no majority of the fleet replace a list the first time, milliseconds. It doubles each time. */
const MINORITY_DELAY_MS = 10_000;
const MAX_MINORITY_DELAY_MS = 600_000;

/**
 * One watcher writes the list when an allocator is not reachable, or too few
 * are listed. Two parts of a fleet that reach the store but not each other must
 * not replace each other's list in turn, so the smaller part waits for longer.
 */
export class AllocatorPlanner {
  private list: AllocatorList | undefined;
  private learnedAt: Millis = -Infinity;
  /** Since when the list in force is to be replaced. */
  private neededSince: Millis | undefined;
  private minorityDelayMs = MINORITY_DELAY_MS;

  constructor(private readonly options: AllocatorPlannerOptions) {}

  /** Records the list in force. */
  setList(now: Millis, list: AllocatorList): void {
    this.list = list;
    this.learnedAt = now;
    this.neededSince = undefined;
  }

  /** The list that this node is to write now; undefined if it is to write none. `wall` is the time of day, milliseconds. */
  plan(now: Millis, wall: Millis, view: FleetView): AllocatorList | undefined {
    const candidates = this.candidatesOf(view);
    const kept = this.reachableAllocators(view);
    const writer = this.writerOf(view, candidates, kept);
    const isInvalid = this.isInvalid(view, kept.length);
    const isNeeded =
      isInvalid || kept.length < candidates.length * MIN_LISTED_SHARE;
    if (writer !== this.options.nodeId || !isNeeded) {
      this.neededSince = undefined;
      return undefined;
    }
    this.neededSince ??= now;
    const {list, learnedAt, neededSince} = this;
    const dueAt = neededSince + this.delayMs(view, isInvalid);
    const isTooEarly = now < dueAt || now < learnedAt + this.options.leaseMs;
    if (list !== undefined && isTooEarly) return undefined;
    const previous = list?.epoch ?? 0;
    const added = candidates.filter(nodeId => !kept.includes(nodeId));
    const missing = Math.max(0, candidates.length - kept.length);
    return {
      // A restore of the store must not lead to the same epoch twice.
      epoch: Math.max(previous + 1, Math.floor(wall)),
      previous,
      era: view.storeEra,
      nodes: [...kept, ...added.slice(0, missing)].sort(),
    };
  }

  /** Records that the planned list was written. */
  recordWritten(view: FleetView): void {
    this.minorityDelayMs = isMajority(view)
      ? MINORITY_DELAY_MS
      : Math.min(MAX_MINORITY_DELAY_MS, 2 * this.minorityDelayMs);
  }

  /** Nodes that are to be allocators, as far as no others are. */
  private candidatesOf({reachable}: FleetView): string[] {
    const {perDomain = ALLOCATORS_PER_DOMAIN} = this.options;
    return [...watchersOf(reachable, perDomain)].sort();
  }

  // The first allocator reads the store all the time, so it learns of a restore.
  private writerOf(
    view: FleetView,
    candidates: readonly string[],
    kept: readonly string[],
  ): string | undefined {
    const [first] = kept;
    if (first !== undefined && this.isLost(view)) return first;
    return ownerOf(
      'allocators',
      candidates.map(nodeId => ({nodeId})),
    );
  }

  /** Whether the list was written in an earlier era of the store, which may have lost it. */
  private isLost({storeEra}: FleetView): boolean {
    return this.list !== undefined && this.list.era < storeEra;
  }

  private reachableAllocators({reachable}: FleetView): string[] {
    const nodeIds = new Set(reachable.map(({nodeId}) => nodeId));
    return (this.list?.nodes ?? []).filter(nodeId => nodeIds.has(nodeId));
  }

  private isInvalid(view: FleetView, keptCount: number): boolean {
    const {list} = this;
    if (list === undefined) return true;
    return keptCount < list.nodes.length || this.isLost(view);
  }

  private delayMs(view: FleetView, isInvalid: boolean): Millis {
    if (!isMajority(view)) return this.minorityDelayMs;
    if (!isInvalid) return GROWTH_DELAY_MS;
    if (this.isLost(view)) return 0;
    return this.listsUnknown(view) ? GROWTH_DELAY_MS : REPLACE_DELAY_MS;
  }

  // Nodes that start together do not know each other for some seconds.
  private listsUnknown({isKnown}: FleetView): boolean {
    return this.list?.nodes.some(id => isKnown?.(id) === false) ?? false;
  }
}

function isMajority({reachable, knownCount}: FleetView): boolean {
  return 2 * reachable.length > knownCount;
}
