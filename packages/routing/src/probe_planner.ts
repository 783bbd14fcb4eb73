/** Chooses which servers to probe for their load, within a hard budget. */
import {TokenBucket, WindowBudget} from '@goldcresthill/budgets';
import type {WindowBudgetOptions} from '@goldcresthill/budgets';
import type {Millis, ServiceRules} from '@goldcresthill/types';
import type {Random} from './routing_policy';
import type {ServerView} from './server_view';

/** Bytes on the wire of a probe and its response, headers included. */
export const PROBE_BYTES = 400;
/** A server with a report younger than this is not probed, milliseconds. */
const MIN_REPORT_AGE_MS = 5;
/** Probes per window in addition to the share of calls. */
const PROBE_BURST = 5;

/**
 * Plans probes after calls. Three budgets must allow each probe: a share of
 * calls, a rate of probes and a rate of bytes.
 */
export class ProbePlanner {
  private readonly probeRate: TokenBucket;
  private readonly byteRate: TokenBucket;
  private readonly callShare: WindowBudget;
  private sent = 0;

  constructor(now: Millis, rules: ServiceRules) {
    this.probeRate = new TokenBucket(now, {perSecond: rules.probesPerSecond});
    this.byteRate = new TokenBucket(now, {
      perSecond: rules.probeBytesPerSecond,
    });
    this.callShare = new WindowBudget(callShareOptions(rules));
  }

  configure(now: Millis, rules: ServiceRules): void {
    this.probeRate.configure(now, {perSecond: rules.probesPerSecond});
    this.byteRate.configure(now, {perSecond: rules.probeBytesPerSecond});
    this.callShare.configure(callShareOptions(rules));
  }

  /**
   * Records a call and returns the servers to probe after it. Each is the one with
   * the older report of two candidates drawn at random.
   */
  plan(
    now: Millis,
    candidates: readonly ServerView[],
    random: Random,
  ): ServerView[] {
    this.callShare.record(now);
    const chosen: ServerView[] = [];
    while (chosen.length < candidates.length) {
      const view = stalestOfTwo(candidates, random);
      if (view === undefined || chosen.includes(view)) break;
      if (now - view.reportedAt < MIN_REPORT_AGE_MS) break;
      if (!this.takeFromBudgets(now)) break;
      chosen.push(view);
    }
    this.sent += chosen.length;
    return chosen;
  }

  get probesSent(): number {
    return this.sent;
  }

  private takeFromBudgets(now: Millis): boolean {
    if (this.probeRate.available(now) < 1) return false;
    if (this.byteRate.available(now) < PROBE_BYTES) return false;
    if (!this.callShare.take(now)) return false;
    return this.probeRate.take(now) && this.byteRate.take(now, PROBE_BYTES);
  }
}

function callShareOptions({probePercent}: ServiceRules): WindowBudgetOptions {
  return {percent: probePercent, burst: PROBE_BURST};
}

function stalestOfTwo(
  candidates: readonly ServerView[],
  random: Random,
): ServerView | undefined {
  const a = candidates[Math.floor(random() * candidates.length)];
  const b = candidates[Math.floor(random() * candidates.length)];
  if (a === undefined || b === undefined) return a;
  return b.reportedAt < a.reportedAt ? b : a;
}
