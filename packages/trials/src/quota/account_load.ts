/** Accounts of uneven size, and the times of their requests. */
import type {AccountCap} from '@goldcresthill/quotas';
import type {Millis} from '@goldcresthill/types';

/** Options of AccountLoad. */
export interface AccountLoadOptions {
  readonly accounts: number;
  /** Requests of all accounts together, per second. */
  readonly requestsPerSecond: number;
  /** Account sizes fall like rank to this negative power. */
  readonly skew: number;
  /** Caps as a multiple of an account's usual rate. */
  readonly headroom: number;
  /** Burst of a cap, in seconds of its rate. */
  readonly burstSeconds: number;
  readonly random: () => number;
}

/** A time in which an account sends a multiple of its usual rate. */
export interface HotSpell {
  readonly account: string;
  readonly factor: number;
  readonly from: Millis;
  readonly until: Millis;
}

const MIN_BURST = 3;
const MILLIS_PER_SECOND = 1_000;

/** Independent requests at each account's rate. */
export class AccountLoad {
  /** Usual rates in requests per second, largest first. */
  readonly rates = new Map<string, number>();
  readonly caps = new Map<string, AccountCap>();
  private readonly spells: HotSpell[] = [];

  constructor(private readonly options: AccountLoadOptions) {
    const {accounts, requestsPerSecond, skew, headroom, burstSeconds} = options;
    const weights = Array.from(
      {length: accounts},
      (_, rank) => (rank + 1) ** -skew,
    );
    const sum = weights.reduce((a, b) => a + b, 0);
    weights.forEach((weight, rank) => {
      const rate = (requestsPerSecond * weight) / sum;
      const name = `account-${rank + 1}`;
      this.rates.set(name, rate);
      const ratePerSecond = rate * headroom;
      const burst = Math.max(
        MIN_BURST,
        Math.ceil(ratePerSecond * burstSeconds),
      );
      this.caps.set(name, {ratePerSecond, burst});
    });
  }

  /** Makes an account hot. */
  heat(spell: HotSpell): void {
    this.spells.push(spell);
  }

  /** Time until the next request of an account, milliseconds. */
  untilNext(account: string, now: Millis): Millis {
    const factor = this.spells
      .filter(({from, until}) => from <= now && now < until)
      .filter(spell => spell.account === account)
      .reduce((product, spell) => product * spell.factor, 1);
    const perMs = ((this.rates.get(account) ?? 0) * factor) / MILLIS_PER_SECOND;
    return -Math.log(1 - this.options.random()) / perMs;
  }
}
