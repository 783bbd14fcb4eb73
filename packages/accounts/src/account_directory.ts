/** Finds client accounts by API key. */

/** A client account. */
export interface ClientAccount {
  readonly name: string;
  /** Compared before the priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Requests per second that the account may make at all nodes together; 0 for no cap. */
  readonly ratePerSecond: number;
  /** Requests that it may make beyond that at once. */
  readonly burst: number;
}

/** An account and the keys that identify it. */
export interface AccountEntry {
  readonly account: ClientAccount;
  readonly keys: readonly string[];
}

/**
 * Accounts of one configuration by key. A key that two accounts hold identifies
 * neither; an account that is listed again keeps its first entry only.
 */
export class AccountDirectory {
  private readonly accounts = new Map<string, ClientAccount>();
  private readonly accountsByKey = new Map<string, ClientAccount>();
  /** Why entries or keys are not in effect, without any key. */
  readonly issues: readonly string[];

  constructor(entries: readonly AccountEntry[]) {
    const issues: string[] = [];
    const sharedKeys = new Set<string>();
    for (const {account, keys} of entries) {
      if (this.accounts.has(account.name)) {
        issues.push(`account ${account.name} is listed again`);
        continue;
      }
      this.accounts.set(account.name, account);
      for (const key of keys) {
        const holder = this.accountsByKey.get(key) ?? account;
        if (holder !== account) {
          sharedKeys.add(key);
          issues.push(
            `accounts ${holder.name} and ${account.name} share a key`,
          );
        }
        this.accountsByKey.set(key, holder);
      }
    }
    for (const key of sharedKeys) this.accountsByKey.delete(key);
    this.issues = issues;
  }

  /** Returns the account that holds a key; undefined if none does or the key is missing. */
  find(key: string | undefined): ClientAccount | undefined {
    return key === undefined ? undefined : this.accountsByKey.get(key);
  }

  /** All accounts, in the order of the configuration. */
  list(): ClientAccount[] {
    return [...this.accounts.values()];
  }
}
