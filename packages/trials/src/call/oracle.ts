/** What the outside of the system must never see in a trial of calls. */

/** A caller's request, with all the resends of it. */
export interface LogicalRequest {
  readonly id: string;
  readonly once: boolean;
  readonly key: string | undefined;
}

/** One sending of a request to a gateway. */
export interface Submission {
  readonly request: LogicalRequest;
  readonly number: number;
  runs: number;
  reportedOutcome: string | undefined;
}

/** A promise that was broken. */
export class GuaranteeError extends Error {
  constructor(
    readonly guarantee: string,
    detail: string,
  ) {
    super(`${guarantee}: ${detail}`);
    this.name = 'OracleError';
  }
}

/** Watches runs and answers, and throws when a promise is broken. */
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
   * A server process begins to run a submission. `sentAt` is when the gate sent
   * it: what had left before the drain and was read late is not a new request
   * (traces of seeds 1719 and 2008, a delay between gate and server).
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
        `${id} ran after its caller was told that it had not`,
      );
    }
    const totalRuns = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, totalRuns);
    if (submission.request.once && totalRuns > 1) {
      throw new GuaranteeError('atMostOnce', `${id} ran ${totalRuns} times`);
    }
    this.checkDrain(sentAt, instance, id);
  }

  /** A server was told to leave, or its gate was. */
  recordDrain(now: number, instance: string): void {
    if (!this.drainedAt.has(instance)) this.drainedAt.set(instance, now);
  }

  /** A caller got a whole answer, said to be of a run. */
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

  /** A caller was told that its request had not run. */
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

  recordUnknown(submission: Submission): void {
    this.setReportedOutcome(submission, 'unknown');
    this.counts.unknown++;
  }

  private setReportedOutcome(submission: Submission, outcome: string): void {
    if (submission.reportedOutcome !== undefined) {
      const {id} = submission.request;
      throw new GuaranteeError(
        'oneAnswer',
        `${id} was told ${submission.reportedOutcome}, then ${outcome}`,
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

/** A leaving server receives nothing new after this long, milliseconds. */
const DRAIN_LIMIT_MS = 2_000;

/** The whole answer to a request. */
export function expectedAnswerBody(id: string): string {
  return `answer to ${id}, whole`;
}
