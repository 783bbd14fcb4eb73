/** Kinds of error, and a table from kind to answer. */
import type {RunState} from '@goldcresthill/types';

/** What a caller or operator is told about an error. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  readonly runState: RunState;
  /** Whether sending the same request again can do no harm. */
  readonly resendSafe: boolean;
}

function notRun(status: number, resendSafe = true): ErrorAnswer {
  return {status, runState: 'notRun', resendSafe};
}

function unknown(status: number): ErrorAnswer {
  return {status, runState: 'unknown', resendSafe: false};
}

/** The table from kind to answer. */
export const ERROR_ANSWERS = {
  // The request itself is at fault.
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
  tooDeep: notRun(508, false),
  wrongInterface: notRun(421, false),

  // The fleet would not run it.
  noConfiguration: notRun(503),
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

  // Whether it ran cannot be told, or its answer was lost.
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

  // Tickets and settings.
  badTicket: notRun(422, false),
  staleTicket: notRun(409, false),
  ticketConflict: notRun(409, false),
  ticketUndetermined: unknown(504),
  configTooLarge: notRun(413, false),
  badSettings: notRun(400, false),

  // The platform's service.
  storeUnavailable: unknown(503),
  storeConflict: notRun(409, false),
  storeBudget: notRun(429),

  internal: unknown(500),
} as const satisfies Record<string, ErrorAnswer>;

/** One of the kinds in the table. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** Looks a kind up in the table. */
export function answerFor(kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind];
}

/** Whether a string received from another process names a kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}
