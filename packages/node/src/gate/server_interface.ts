/** How a gate speaks to the server of its VM. */
import type {IncomingHttpHeaders} from 'node:http';
import {HEADERS} from '@goldcresthill/protocol';
import type {Millis, ServiceRules} from '@goldcresthill/types';
import type {HeaderMap} from '../http/header_filter';
import type {AttemptRequest} from './messages';

/**
 * What an answer of a server is: the answer to the attempt, word that it did
 * not run, or bytes that say nothing of the attempt.
 */
export type AnswerClass = 'answer' | 'notRun' | 'otherInstance' | 'invalid';

/** What a server says of its own load. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times longer than usual work takes now. */
  readonly slowdown: number;
}

/** Words that servers use. */
export abstract class ServerInterface {
  /** Headers of an attempt as the server is to see them. */
  abstract headersFor(
    req: AttemptRequest,
    instance: string,
    remainingMs: Millis,
  ): HeaderMap;
  /** Judges the head of an answer. */
  abstract classifyAnswer(
    req: AttemptRequest,
    status: number,
    headers: IncomingHttpHeaders,
    rules: ServiceRules,
  ): AnswerClass;
  /** The load that comes with an answer, if any does. */
  abstract loadOf(headers: IncomingHttpHeaders): ServerLoad | undefined;
}

/** The project's own interface: headers that begin with `gh-`. */
export class OwnServerInterface extends ServerInterface {
  override headersFor(
    req: AttemptRequest,
    _instance: string,
    remainingMs: Millis,
  ): HeaderMap {
    return {...req.headers, [HEADERS.deadlineMs]: String(remainingMs)};
  }

  override classifyAnswer(
    _req: AttemptRequest,
    status: number,
    _headers: IncomingHttpHeaders,
    rules: ServiceRules,
  ): AnswerClass {
    return rules.shedStatuses.includes(status) ? 'notRun' : 'answer';
  }

  override loadOf(): undefined {
    return undefined;
  }
}
