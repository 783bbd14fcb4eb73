/** Executes a load query: sends the queries, handles the answers and runs the timeout. */
import type {
  LoadQuery,
  LoadQueryCommand,
  ServerView,
  ServiceRouter,
  SpillCall,
} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {
  AdmissionEstimate,
  AdmissionQuery,
  CallAttributes,
} from '@goldcresthill/types';

/**
 * Asks the node beside a server for its load and for whether it would admit a
 * call. `done` receives `silent` if no answer came, and undefined if the node
 * has no such server.
 */
export type SendLoadQuery = (
  query: AdmissionQuery,
  view: ServerView,
  done: (estimate: AdmissionEstimate | undefined | 'silent') => void,
) => void;

/** Result of a load query. */
export type LoadQueryOutcome =
  | Exclude<LoadQueryCommand, {readonly type: 'ask'}>
  /** Servers are chosen by the reports of earlier answers. */
  | {readonly type: 'notQueried'};

/** Options of LoadQueryRunner. */
export interface LoadQueryRunnerOptions {
  readonly attributes: CallAttributes;
  /** The call, from which it is decided whether it leaves the failure domain. */
  readonly spillCall: SpillCall;
  readonly router: ServiceRouter;
  readonly timers: Timers;
  readonly sendLoadQuery: SendLoadQuery;
}

/** Runs one load query; `done` is called once, immediately if there is no server to query. */
export class LoadQueryRunner {
  private readonly loadQuery: LoadQuery;
  private cancelTimeout: Cancel | undefined;
  private ended = false;

  constructor(
    private readonly options: LoadQueryRunnerOptions,
    exclude: readonly string[],
    private readonly done: (outcome: LoadQueryOutcome) => void,
  ) {
    const {router, timers, spillCall} = options;
    this.loadQuery = router.createLoadQuery(timers.now(), exclude, spillCall);
  }

  start(): void {
    this.execute(this.loadQuery.begin(this.options.timers.now()));
  }

  private execute(command: LoadQueryCommand | undefined): void {
    if (command === undefined || this.ended) return;
    this.cancelTimeout?.();
    if (command.type === 'ask') {
      this.ask(command);
      return;
    }
    this.ended = true;
    this.done(command);
  }

  private ask({views, waitMs}: LoadQueryCommand & {type: 'ask'}): void {
    const {timers} = this.options;
    this.cancelTimeout = timers.after(waitMs, () =>
      this.execute(this.loadQuery.onTimeout(timers.now())),
    );
    views.forEach(view => this.query(view));
  }

  // An answer that arrives after the query has ended still updates the router.
  private query(view: ServerView): void {
    const {router, timers, sendLoadQuery} = this.options;
    sendLoadQuery(this.admissionQuery(), view, estimate => {
      if (estimate === 'silent') return;
      const now = timers.now();
      if (estimate === undefined) router.markDown(view.id);
      else router.recordReport(now, view.id, estimate.report);
      const accepts =
        estimate !== undefined && (estimate.accepts || !this.usesEstimates);
      this.execute(this.loadQuery.onAnswer(now, view, accepts));
    });
  }

  private get usesEstimates(): boolean {
    const {disabled} = this.options.router.currentRules;
    return !disabled.includes('admissionEstimates');
  }

  private admissionQuery(): AdmissionQuery {
    const {attributes, timers} = this.options;
    const {service, route, origin, priority, returning} = attributes;
    const now = timers.now();
    return {
      service,
      route,
      origin,
      priority,
      remainingMs: attributes.deadline - now,
      objectiveRemainingMs: attributes.objective - now,
      returning,
    };
  }
}
