/** Tells the refusals of a server apart, and what the gate learns of an answer. */
import type {ErrorKind} from '@goldcresthill/errors';
import type {RequestOutcome} from '@goldcresthill/gate';
import type {AnswerClass, ServerLoad} from './server_interface';

const SERVER_ERROR = 500;

/** Why a server has not run a request; undefined if it has. */
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

/** What an answer teaches the gate; a server error says nothing of how long work takes. */
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
