/** Recent routing decisions by call, for `explain` and for the log. */
import type {Logger} from '@goldcresthill/logger';

/** Fields of a decision, with its reason. */
export type Decision = Readonly<Record<string, unknown>>;

const DEFAULT_MAX_CALLS = 2_000;

/** Stores the decisions of the most recent calls. */
export class DecisionLog {
  private readonly decisionsByCall = new Map<string, Decision[]>();

  /** With a `maxCalls` of 0, decisions are logged but not stored. */
  constructor(
    private readonly logger: Logger,
    private readonly maxCalls = DEFAULT_MAX_CALLS,
  ) {}

  /** Whether to log the decisions of the next call. */
  sample(): boolean {
    return this.logger.sampleDecision();
  }

  /** Stores a decision, and logs it if its call is sampled. */
  add(callId: string, sampled: boolean, decision: Decision): void {
    if (this.maxCalls > 0) this.append(callId, decision);
    if (sampled) this.logger.decision({callId, ...decision});
  }

  /** Returns the decisions of a call; undefined if none are stored. */
  explain(callId: string): readonly Decision[] | undefined {
    return this.decisionsByCall.get(callId);
  }

  private append(callId: string, decision: Decision): void {
    const decisions = this.decisionsByCall.get(callId);
    if (decisions === undefined) this.addCall(callId, decision);
    else decisions.push(decision);
  }

  private addCall(callId: string, decision: Decision): void {
    if (this.decisionsByCall.size >= this.maxCalls) {
      const oldest = this.decisionsByCall.keys().next();
      if (!oldest.done) this.decisionsByCall.delete(oldest.value);
    }
    this.decisionsByCall.set(callId, [decision]);
  }
}
