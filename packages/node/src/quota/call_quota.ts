/** Checks an account's cap for one call while the call's body is read. */
import {BalancerError} from '@goldcresthill/errors';
import type {QuotaOutcome} from '@goldcresthill/quotas';
import type {Cancel} from '@goldcresthill/timers';

/** Decides whether a request may start; `done` is called once. Returns a function that withdraws the request. */
export type AdmitCapped = (done: (outcome: QuotaOutcome) => void) => Cancel;

/** Outcome of the check of one call. */
export class CallQuota {
  private outcome: QuotaOutcome | undefined;
  private onAdmitted: () => void = () => undefined;
  private readonly withdraw: Cancel;

  /** Starts the check; `onRefused` is called if the call may not start. */
  constructor(
    admit: AdmitCapped,
    account: string,
    onRefused: (error: BalancerError) => void,
  ) {
    this.withdraw = admit(outcome => {
      this.outcome = outcome;
      if (outcome.type === 'admitted') this.onAdmitted();
      else onRefused(errorFor(outcome, account));
    });
  }

  get isRefused(): boolean {
    return this.outcome !== undefined && this.outcome.type !== 'admitted';
  }

  /** Runs a function once the call may start; never if it may not. */
  whenAdmitted(run: () => void): void {
    if (this.outcome?.type === 'admitted') run();
    else this.onAdmitted = run;
  }

  /** Gives up the check, as the caller has gone. */
  cancel(): void {
    if (this.outcome === undefined) this.withdraw();
  }
}

function errorFor(
  outcome: Exclude<QuotaOutcome, {type: 'admitted'}>,
  account: string,
): BalancerError {
  const kind =
    outcome.type === 'overCap' ? 'capExceeded' : 'allocatorUnavailable';
  return new BalancerError(kind, `account ${account}`, outcome.retryAfterMs);
}
