/** Error kinds and the answer that each one gives. */
import type {RunState} from '@goldcresthill/types';

/** What an error answer reports to a caller or operator. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  readonly runState: RunState;
  /** Whether the same request can be sent again without harm. */
  readonly resendSafe: boolean;
}

function notRun(status: number, resendSafe = true): ErrorAnswer {
  return {status, runState: 'notRun', resendSafe};
}

function unknown(status: number): ErrorAnswer {
  return {status, runState: 'unknown', resendSafe: false};
}

/** Answer of each error kind. */
export const ERROR_ANSWERS = {
  // The request is invalid or did not arrive in time.
  malformedRequest: notRun(400, false),
  badHeader: notRun(400, false),
  headersTooLarge: notRun(431, false),
  methodNotAllowed: notRun(405, false),
  badDeadline: notRun(400, false),
  missingService: notRun(400, false),
  unknownService: notRun(404, false),
  unknownRoute: notRun(404, false),
  bodyTooLarge: notRun(413, false),
  slowSender: notRun(408),
  unknownKey: notRun(401, false),
  tooDeep: notRun(508, false),
  wrongInterface: notRun(421, false),

  // The request is valid, but was refused; it has not run.
  noConfiguration: notRun(503),
  configurationStale: notRun(503),
  capExceeded: notRun(429),
  allocatorUnavailable: notRun(503),
  routeUnusable: notRun(503),
  noServer: notRun(503),
  overloaded: notRun(503),
  queueFull: notRun(503),
  deadlineTooShort: notRun(504),
  draining: notRun(503),
  wrongIncarnation: notRun(503),
  fenced: notRun(503),
  serverUnreachable: notRun(503),
  shedByServer: notRun(503),
  rejectedByServer: notRun(503),
  suspectBusy: notRun(503),
  quarantined: notRun(422, false),
  retriesSpent: notRun(503),
  keyStoreUnavailable: notRun(503),
  nodeClosing: notRun(503),

  // The run state is unknown, or the answer was lost. A reused key is refused before its call runs.
  connectionLost: unknown(502),
  serverDied: unknown(502),
  brokenAnswer: unknown(502),
  deadlinePassed: unknown(504),
  attemptForgotten: unknown(502),
  gateRestarted: unknown(502),
  duplicateUnknown: unknown(409),
  keyReused: notRun(422, false),
  duplicateRunning: unknown(409),
  answerLost: {status: 502, runState: 'ran', resendSafe: false},

  // Change tickets and settings.
  badTicket: notRun(422, false),
  staleTicket: notRun(409, false),
  ticketConflict: notRun(409, false),
  ticketUndetermined: unknown(504),
  configTooLarge: notRun(413, false),
  badSettings: notRun(400, false),

  // The platform's object store.
  storeUnavailable: unknown(503),
  storeConflict: notRun(409, false),
  storeBudget: notRun(429),

  internal: unknown(500),
} as const satisfies Record<string, ErrorAnswer>;

export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** Returns the answer of an error kind. */
export function answerFor(kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind];
}

/** Whether a string received from another process is an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}
