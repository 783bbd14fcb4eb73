/** Recent decisions by call, for `explain`, and their log lines. */
import type {Logger} from '@goldcresthill/logger';

/** A decision with its reason. */
export type Decision = Readonly<Record<string, unknown>>;

const DEFAULT_MAX_CALLS = 2_000;

/** Keeps the decisions of the newest calls. */
export class DecisionLog {
  private readonly decisionsByCall = new Map<string, Decision[]>();

  /** `maxCalls` 0 keeps nothing but log lines. */
  constructor(
    private readonly logger: Logger,
    private readonly maxCalls = DEFAULT_MAX_CALLS,
  ) {}

  /** Whether the decisions of one more call are to be logged. */
  sample(): boolean {
    return this.logger.sampleDecision();
  }

  /** Remembers a decision, and logs it if its call is sampled. */
  add(callId: string, sampled: boolean, decision: Decision): void {
    if (this.maxCalls > 0) this.append(callId, decision);
    if (sampled) this.logger.decision({callId, ...decision});
  }

  /** What was decided for a call; undefined if it is not remembered. */
  explain(callId: string): readonly Decision[] | undefined {
    return this.decisionsByCall.get(callId);
  }

  private append(callId: string, decision: Decision): void {
    const known = this.decisionsByCall.get(callId);
    if (known === undefined) this.addCall(callId, decision);
    else known.push(decision);
  }

  private addCall(callId: string, decision: Decision): void {
    if (this.decisionsByCall.size >= this.maxCalls) {
      const oldest = this.decisionsByCall.keys().next();
      if (!oldest.done) this.decisionsByCall.delete(oldest.value);
    }
    this.decisionsByCall.set(callId, [decision]);
  }
}
