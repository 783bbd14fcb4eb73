/** Error kinds of refusals by a server, and outcomes of requests for the gate. */
import type {ErrorKind} from '@goldcresthill/errors';
import type {RequestOutcome} from '@goldcresthill/gate';
import type {AnswerClass, ServerLoad} from './server_interface';

const SERVER_ERROR = 500;

/** Returns why a server has not run a request, or undefined if it may have run it. */
export function refusalKind(
  answerClass: AnswerClass,
  load: ServerLoad | undefined,
): ErrorKind | undefined {
  switch (answerClass) {
    case 'notRun':
      return hasFreeSlot(load) ? 'rejectedByServer' : 'shedByServer';
    case 'otherInstance':
      return 'serverUnreachable';
    case 'answer':
    case 'invalid':
      return undefined;
  }
}

function hasFreeSlot(load: ServerLoad | undefined): boolean {
  return load !== undefined && load.running < load.slots;
}

/** Outcome of a request for the gate. Server errors count as failed, as their duration is not a service time. */
export function requestOutcome(
  refusal: ErrorKind | undefined,
  status: number,
): RequestOutcome {
  switch (refusal) {
    case 'shedByServer':
      return 'shed';
    case 'rejectedByServer':
      return 'rejected';
    default:
      return status >= SERVER_ERROR ? 'failed' : 'ok';
  }
}
