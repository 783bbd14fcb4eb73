/** Combines the priorities of accounts and routes. */

/** Priority of a request without an account. */
const NO_ACCOUNT_PRIORITY = 0;

/**
 * Orders requests by the priority of their account, then by that of their
 * route. A level is a small integer, 0 for the highest priority, whatever
 * numbers the configuration uses.
 */
export class PriorityLevels {
  private readonly accountRanks: ReadonlyMap<number, number>;
  private readonly routeRanks: ReadonlyMap<number, number>;

  constructor(
    accountPriorities: readonly number[],
    routePriorities: readonly number[],
  ) {
    this.accountRanks = ranksOf([NO_ACCOUNT_PRIORITY, ...accountPriorities]);
    this.routeRanks = ranksOf(routePriorities);
  }

  /** Returns the level of a request; `account` is undefined without one. */
  levelOf(account: number | undefined, route: number): number {
    const accountRank = this.accountRanks.get(account ?? NO_ACCOUNT_PRIORITY);
    const routeRank = this.routeRanks.get(route);
    return (accountRank ?? 0) * this.routeRanks.size + (routeRank ?? 0);
  }
}

function ranksOf(priorities: readonly number[]): Map<number, number> {
  const distinct = [...new Set(priorities)].sort((a, b) => a - b);
  return new Map(distinct.map((priority, rank) => [priority, rank]));
}
