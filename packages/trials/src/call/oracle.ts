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
  told: string | undefined;
}

/** A promise that was broken. */
export class OracleError extends Error {
  constructor(
    readonly promise: string,
    detail: string,
  ) {
    super(`${promise}: ${detail}`);
    this.name = 'OracleError';
  }
}

/** Watches runs and answers, and throws when a promise is broken. */
export class CallOracle {
  private readonly runs = new Map<string, number>();
  private readonly submissions = new Map<string, Submission>();
  private readonly drainedAt = new Map<string, number>();
  readonly counts = {answered: 0, notRun: 0, unknown: 0, kept: 0};

  submit(request: LogicalRequest, number: number): Submission {
    const submission = {request, number, runs: 0, told: undefined};
    this.submissions.set(`${request.id}#${number}`, submission);
    return submission;
  }

  /**
   * A server process begins to run a submission. `sentAt` is when the gate sent
   * it: what had left before the drain and was read late is not a new request
   * (traces of seeds 1719 and 2008, a delay between gate and server).
   */
  ran(sentAt: number, server: string, id: string, number: number): void {
    const submission = this.submissions.get(`${id}#${number}`);
    if (submission === undefined)
      throw new OracleError('known', `${id} was never sent`);
    submission.runs++;
    if (submission.told === 'notRun') {
      throw new OracleError(
        'notRunIsTrue',
        `${id} ran after its caller was told that it had not`,
      );
    }
    const total = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, total);
    if (submission.request.once && total > 1) {
      throw new OracleError('atMostOnce', `${id} ran ${total} times`);
    }
    this.checkDrain(sentAt, server, id);
  }

  /** A server was told to leave, or its gate was. */
  drained(now: number, server: string): void {
    if (!this.drainedAt.has(server)) this.drainedAt.set(server, now);
  }

  /** A caller got a whole answer, said to be of a run. */
  answered(submission: Submission, body: string, kept: boolean): void {
    this.tell(submission, 'ran');
    const {id} = submission.request;
    if (body !== wholeAnswer(id)) {
      throw new OracleError(
        'wholeAnswer',
        `${id} was answered ${JSON.stringify(body)}`,
      );
    }
    if ((this.runs.get(id) ?? 0) < 1) {
      throw new OracleError('wholeAnswer', `${id} was answered without a run`);
    }
    if (kept) this.counts.kept++;
    this.counts.answered++;
  }

  /** A caller was told that its request had not run. */
  notRun(submission: Submission): void {
    this.tell(submission, 'notRun');
    if (submission.runs > 0) {
      const {id} = submission.request;
      throw new OracleError(
        'notRunIsTrue',
        `${id} had run ${submission.runs} times`,
      );
    }
    this.counts.notRun++;
  }

  unknown(submission: Submission): void {
    this.tell(submission, 'unknown');
    this.counts.unknown++;
  }

  private tell(submission: Submission, told: string): void {
    if (submission.told !== undefined) {
      const {id} = submission.request;
      throw new OracleError(
        'oneAnswer',
        `${id} was told ${submission.told}, then ${told}`,
      );
    }
    submission.told = told;
  }

  private checkDrain(now: number, server: string, id: string): void {
    const at = this.drainedAt.get(server);
    if (at !== undefined && now > at + DRAIN_BOUND_MS) {
      throw new OracleError(
        'drain',
        `${id} reached ${server} ${now - at} ms after its drain`,
      );
    }
  }
}

/** A leaving server receives nothing new after this long, milliseconds. */
const DRAIN_BOUND_MS = 2_000;

/** The whole answer to a request. */
export function wholeAnswer(id: string): string {
  return `answer to ${id}, whole`;
}
