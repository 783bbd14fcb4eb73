/** Checks the guarantees of calls in a trial, as callers and servers observe them. */

/** A caller's request, the same for the first submission and all resends. */
export interface LogicalRequest {
  readonly id: string;
  readonly once: boolean;
  readonly key: string | undefined;
}

/** One transmission of a request to a gateway: the first or a resend. */
export interface Submission {
  readonly request: LogicalRequest;
  readonly number: number;
  runs: number;
  reportedOutcome: string | undefined;
}

/** Thrown when a guarantee is violated; `guarantee` is its name. */
export class GuaranteeError extends Error {
  constructor(
    readonly guarantee: string,
    detail: string,
  ) {
    super(`${guarantee}: ${detail}`);
    this.name = 'GuaranteeError';
  }
}

/** Records runs and answers; its methods throw a GuaranteeError when they violate a guarantee. */
export class CallGuaranteeChecker {
  private readonly runs = new Map<string, number>();
  private readonly submissions = new Map<string, Submission>();
  private readonly drainedAt = new Map<string, number>();
  readonly counts = {
    answered: 0,
    notRun: 0,
    unknown: 0,
    kept: 0,
  };

  registerSubmission(request: LogicalRequest, number: number): Submission {
    const submission = {request, number, runs: 0, reportedOutcome: undefined};
    this.submissions.set(`${request.id}#${number}`, submission);
    return submission;
  }

  /**
   * Records that a server process starts to run a submission. `sentAt` is when
   * the gate sent it: a request that was sent before the drain but read late is
   * not a new one. Seeds 1719 and 2008 produced this by a delay between gate
   * and server.
   */
  recordRun(
    sentAt: number,
    instance: string,
    id: string,
    number: number,
  ): void {
    const submission = this.submissions.get(`${id}#${number}`);
    if (submission === undefined)
      throw new GuaranteeError('known', `${id} was never sent`);
    submission.runs++;
    if (submission.reportedOutcome === 'notRun') {
      throw new GuaranteeError(
        'notRunIsTrue',
        `${id} ran after its caller was told that it did not run`,
      );
    }
    const totalRuns = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, totalRuns);
    if (submission.request.once && totalRuns > 1) {
      throw new GuaranteeError('atMostOnce', `${id} ran ${totalRuns} times`);
    }
    this.checkDrain(sentAt, instance, id);
  }

  /** Records that a server starts to drain; only the first call counts. */
  recordDrain(now: number, instance: string): void {
    if (!this.drainedAt.has(instance)) this.drainedAt.set(instance, now);
  }

  /**
   * Records an answer to a caller, which must be complete and come from a run;
   * `kept` if it is the stored answer of an earlier call with the same key.
   */
  recordAnswer(submission: Submission, body: string, kept: boolean): void {
    this.setReportedOutcome(submission, 'ran');
    const {id} = submission.request;
    if (body !== expectedAnswerBody(id)) {
      throw new GuaranteeError(
        'wholeAnswer',
        `${id} was answered ${JSON.stringify(body)}`,
      );
    }
    if ((this.runs.get(id) ?? 0) < 1) {
      throw new GuaranteeError(
        'wholeAnswer',
        `${id} was answered without a run`,
      );
    }
    if (kept) this.counts.kept++;
    this.counts.answered++;
  }

  /** Records that a caller was told that its submission did not run. */
  recordNotRun(submission: Submission): void {
    this.setReportedOutcome(submission, 'notRun');
    if (submission.runs > 0) {
      const {id} = submission.request;
      throw new GuaranteeError(
        'notRunIsTrue',
        `${id} had run ${submission.runs} times`,
      );
    }
    this.counts.notRun++;
  }

  /** Records that a caller was told that the outcome of its submission is unknown. */
  recordUnknown(submission: Submission): void {
    this.setReportedOutcome(submission, 'unknown');
    this.counts.unknown++;
  }

  private setReportedOutcome(submission: Submission, outcome: string): void {
    if (submission.reportedOutcome !== undefined) {
      const {id} = submission.request;
      throw new GuaranteeError(
        'oneAnswer',
        `${id} was reported as ${submission.reportedOutcome}, then as ${outcome}`,
      );
    }
    submission.reportedOutcome = outcome;
  }

  private checkDrain(sentAt: number, instance: string, id: string): void {
    const drainedAt = this.drainedAt.get(instance);
    if (drainedAt !== undefined && sentAt > drainedAt + DRAIN_LIMIT_MS) {
      throw new GuaranteeError(
        'drain',
        `${id} reached ${instance} ${sentAt - drainedAt} ms after its drain`,
      );
    }
  }
}

/** Time after the start of a drain from which the server must receive no new request. */
const DRAIN_LIMIT_MS = 2_000;

/** Body of the complete answer to a request. */
export function expectedAnswerBody(id: string): string {
  return `answer to ${id}, whole`;
}
