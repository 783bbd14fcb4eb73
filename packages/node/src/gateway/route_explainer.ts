/** Explains which server a call would be sent to now, by the code that chooses it, without sending the call. */
import type {ErrorKind} from '@goldcresthill/errors';
import {MAX_REPORT_AGE_MS} from '@goldcresthill/routing';
import type {
  PickedServer,
  ServerView,
  ServiceRouter,
  SpillReason,
} from '@goldcresthill/routing';
import type {Timers} from '@goldcresthill/timers';
import type {CallAttributes, Micros, Millis} from '@goldcresthill/types';
import {LoadQueryRunner} from './load_query_runner';
import type {LoadQueryOutcome, SendLoadQuery} from './load_query_runner';

/** Why a server is chosen, or how far it is from that. */
export type Verdict =
  | 'chosen'
  /** In the set from which the policy chose. */
  | 'candidate'
  /** Its gate would refuse the call. */
  | 'refuses'
  | 'not up'
  | 'set aside'
  | 'no recent report'
  /** The call stays in one domain, and the server is in another or answers later there. */
  | 'ruled out by domain';

/** One server of the service. */
export interface ExplainedServer {
  readonly id: string;
  readonly domain: string;
  readonly verdict: Verdict;
  /** Expected time by the policy; undefined if the server was not scored. */
  readonly expectedUs: Micros | undefined;
  /** Requests running and queued, and the limit, by the last report. */
  readonly inFlight: number | undefined;
  readonly queued: number | undefined;
  readonly limit: number;
  readonly slowdown: number | undefined;
  readonly reportAgeMs: Millis | undefined;
  readonly networkUs: Micros;
}

/** Where a call to a service would go now. */
export interface ChoiceExplanation {
  readonly service: string;
  /** Undefined if the call would be refused. */
  readonly server: string | undefined;
  readonly refusal: ErrorKind | undefined;
  readonly reason: string | undefined;
  /** Why the call stays in the gateway's domain or leaves it. */
  readonly domain: SpillReason | undefined;
  /** The chosen server first, then candidates by expected time, then the others. */
  readonly servers: readonly ExplainedServer[];
}

/** Options of explainChoice. */
export interface ExplainOptions {
  readonly attributes: CallAttributes;
  /** Size of the request's body, bytes. */
  readonly requestBytes: number;
  readonly router: ServiceRouter;
  readonly timers: Timers;
  /** Without it, servers are chosen by the reports of earlier answers. */
  readonly sendLoadQuery: SendLoadQuery | undefined;
}

const VERDICT_ORDER: readonly Verdict[] = [
  'chosen',
  'candidate',
  'ruled out by domain',
  'refuses',
  'no recent report',
  'set aside',
  'not up',
];

/** Runs a load query as for a call and reports the choice; `done` is called once. */
export function explainChoice(
  options: ExplainOptions,
  done: (explanation: ChoiceExplanation) => void,
): void {
  const {attributes, requestBytes, router, timers, sendLoadQuery} = options;
  const {maxRequestBytes, disabled} = router.currentRules;
  if (requestBytes > maxRequestBytes) {
    done(explain(options, undefined, new Set(), 'bodyTooLarge'));
    return;
  }
  const {objective, deadline, route} = attributes;
  const spillCall = {objective, deadline, route, requestBytes};
  const refused = new Set<string>();
  const choose = (query: LoadQueryOutcome): void => {
    if (query.type === 'refuse') {
      done(explain(options, undefined, refused, 'queueFull'));
      return;
    }
    const isQueried = query.type === 'choose';
    const picked = router.preview(
      timers.now(),
      isQueried ? query.refusing : [],
      {loadQueried: isQueried, call: isQueried ? spillCall : undefined},
    );
    const refusal = picked === undefined ? 'noServer' : undefined;
    done(explain(options, picked, refused, refusal));
  };
  if (sendLoadQuery === undefined || disabled.includes('loadQueries')) {
    choose({type: 'notQueried'});
    return;
  }
  const sendAndRecord: SendLoadQuery = (query, view, onAnswer) =>
    sendLoadQuery(query, view, estimate => {
      if (typeof estimate === 'object' && !estimate.accepts)
        refused.add(view.id);
      onAnswer(estimate);
    });
  const runnerOptions = {
    attributes,
    spillCall,
    router,
    timers,
    sendLoadQuery: sendAndRecord,
  };
  new LoadQueryRunner(runnerOptions, [], choose).start();
}

function explain(
  {attributes, router, timers}: ExplainOptions,
  picked: PickedServer | undefined,
  refused: ReadonlySet<string>,
  refusal: ErrorKind | undefined,
): ChoiceExplanation {
  const now = timers.now();
  const servers = router
    .serverViews()
    .map(view => explainServer(now, view, picked, refused));
  servers.sort(
    (a, b) =>
      VERDICT_ORDER.indexOf(a.verdict) - VERDICT_ORDER.indexOf(b.verdict) ||
      (a.expectedUs ?? Infinity) - (b.expectedUs ?? Infinity) ||
      a.id.localeCompare(b.id),
  );
  return {
    service: attributes.service,
    server: picked?.id,
    refusal,
    reason: picked?.reason,
    domain: picked?.spill,
    servers,
  };
}

function explainServer(
  now: Millis,
  view: ServerView,
  picked: PickedServer | undefined,
  refused: ReadonlySet<string>,
): ExplainedServer {
  const {report} = view;
  return {
    id: view.id,
    domain: view.domain,
    verdict: verdictOn(now, view, picked, refused),
    expectedUs: picked?.scores?.[view.id],
    inFlight: report?.inFlight,
    queued: report?.queued,
    limit: view.limit,
    slowdown: report?.slowdown,
    reportAgeMs:
      report === undefined ? undefined : Math.round(now - view.reportedAt),
    networkUs: Math.round(view.networkUs),
  };
}

function verdictOn(
  now: Millis,
  view: ServerView,
  picked: PickedServer | undefined,
  refused: ReadonlySet<string>,
): Verdict {
  if (view.id === picked?.id) return 'chosen';
  if (picked?.scores?.[view.id] !== undefined) return 'candidate';
  if (view.state !== 'up') return 'not up';
  if (refused.has(view.id)) return 'refuses';
  if (view.isSetAside(now)) return 'set aside';
  if (!hasRecentReport(now, view)) return 'no recent report';
  return picked?.spill === undefined ? 'candidate' : 'ruled out by domain';
}

function hasRecentReport(now: Millis, view: ServerView): boolean {
  return now - view.reportedAt <= MAX_REPORT_AGE_MS;
}
