/** Carries out a consultation: questions, their answers and the wait. */
import type {
  LoadQuery,
  LoadQueryCommand,
  ServerView,
  ServiceRouter,
} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {LoadReport} from '@goldcresthill/types';

/** Asks the node beside a server; `silent` if no answer came, undefined if it has no such server. */
export type LoadAsker = (
  service: string,
  view: ServerView,
  done: (report: LoadReport | undefined | 'silent') => void,
) => void;

/** What a runner starts from. */
export interface ConsultationRunnerOptions {
  readonly service: string;
  readonly router: ServiceRouter;
  readonly timers: Timers;
  readonly ask: LoadAsker;
}

/** Runs one consultation; `done` is called once, at once if there is nothing to ask. */
export class ConsultationRunner {
  private readonly consultation: LoadQuery;
  private wait: Cancel | undefined;
  private ended = false;

  constructor(
    private readonly options: ConsultationRunnerOptions,
    exclude: readonly string[],
    private readonly done: () => void,
  ) {
    const {router, timers} = options;
    this.consultation = router.createLoadQuery(timers.now(), exclude);
  }

  start(): void {
    this.execute(this.consultation.begin(this.options.timers.now()));
  }

  private execute(command: LoadQueryCommand | undefined): void {
    if (command === undefined || this.ended) return;
    this.wait?.();
    if (command.type === 'choose') {
      this.ended = true;
      this.done();
      return;
    }
    const {timers} = this.options;
    this.wait = timers.after(command.waitMs, () =>
      this.execute(this.consultation.onTimeout(timers.now())),
    );
    command.views.forEach(view => this.ask(view));
  }

  // An answer that comes after the choice still teaches.
  private ask(view: ServerView): void {
    const {service, router, timers, ask} = this.options;
    ask(service, view, report => {
      if (report === 'silent') return;
      if (report === undefined) router.markDown(view.id);
      else router.recordReport(timers.now(), view.id, report);
      this.execute(this.consultation.onAnswer(timers.now(), view));
    });
  }
}
