/** Recent decisions by call, for `explain`, and their log lines. */
import type {Logger} from '@goldcresthill/logger';

/** A decision with its reason. */
export type Decision = Readonly<Record<string, unknown>>;

const MAX_CALLS = 2_000;

/** Keeps the decisions of the newest calls. */
export class DecisionLog {
  private readonly calls = new Map<string, Decision[]>();

  constructor(private readonly logger: Logger) {}

  /** Whether the decisions of one more call are to be logged. */
  sample(): boolean {
    return this.logger.sampleDecision();
  }

  /** Remembers a decision, and logs it if its call is sampled. */
  add(callId: string, sampled: boolean, decision: Decision): void {
    const known = this.calls.get(callId);
    if (known === undefined) this.start(callId, decision);
    else known.push(decision);
    if (sampled) this.logger.decision({callId, ...decision});
  }

  /** What was decided for a call; undefined if it is not remembered. */
  explain(callId: string): readonly Decision[] | undefined {
    return this.calls.get(callId);
  }

  private start(callId: string, decision: Decision): void {
    if (this.calls.size >= MAX_CALLS) {
      const oldest = this.calls.keys().next();
      if (!oldest.done) this.calls.delete(oldest.value);
    }
    this.calls.set(callId, [decision]);
  }
}
