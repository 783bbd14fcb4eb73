/** Executes a load query: sends the queries, handles the answers and runs the timeout. */
import type {
  LoadQuery,
  LoadQueryCommand,
  ServerView,
  ServiceRouter,
} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {LoadReport} from '@goldcresthill/types';

/**
 * Asks the node beside a server for its load. `done` receives `silent` if no
 * answer came, and undefined if the node has no such server.
 */
export type SendLoadQuery = (
  service: string,
  view: ServerView,
  done: (report: LoadReport | undefined | 'silent') => void,
) => void;

/** Options of LoadQueryRunner. */
export interface LoadQueryRunnerOptions {
  readonly service: string;
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
    private readonly done: () => void,
  ) {
    const {router, timers} = options;
    this.loadQuery = router.createLoadQuery(timers.now(), exclude);
  }

  start(): void {
    this.execute(this.loadQuery.begin(this.options.timers.now()));
  }

  private execute(command: LoadQueryCommand | undefined): void {
    if (command === undefined || this.ended) return;
    this.cancelTimeout?.();
    if (command.type === 'choose') {
      this.ended = true;
      this.done();
      return;
    }
    const {timers} = this.options;
    this.cancelTimeout = timers.after(command.waitMs, () =>
      this.execute(this.loadQuery.onTimeout(timers.now())),
    );
    command.views.forEach(view => this.query(view));
  }

  // An answer that arrives after the query has ended still updates the router.
  private query(view: ServerView): void {
    const {service, router, timers, sendLoadQuery} = this.options;
    sendLoadQuery(service, view, report => {
      if (report === 'silent') return;
      if (report === undefined) router.markDown(view.id);
      else router.recordReport(timers.now(), view.id, report);
      this.execute(this.loadQuery.onAnswer(timers.now(), view));
    });
  }
}
