/** HTTP interface of a gate to the server of its VM. */
import type {IncomingHttpHeaders} from 'node:http';
import {HEADERS} from '@goldcresthill/protocol';
import type {Millis, ServiceRules} from '@goldcresthill/types';
import type {HeaderMap} from '../http/header_filter';
import type {AttemptRequest} from './messages';

/**
 * Class of a server's answer: the answer to the attempt, a statement that the
 * server did not run it, an answer of another server instance, or an answer
 * that does not show what became of the attempt.
 */
export type AnswerClass = 'answer' | 'notRun' | 'otherInstance' | 'invalid';

/** Load of a server, as reported by the server itself. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current service time as a multiple of the usual one. */
  readonly slowdown: number;
}

/** What a server says of itself in its answers beside its load. */
export interface ServerNotice {
  /** Rate limit that the server advertises for all VMs together; undefined if it advertises none. */
  readonly requestsPerSecond: number | undefined;
  /** Whether the server is about to shut down. */
  readonly leaving: boolean;
  /** Time for which the server stays cold, milliseconds; undefined if it does not say. */
  readonly coldMs?: Millis;
}

/** Request headers that a server expects, and the interpretation of its answers. */
export abstract class ServerInterface {
  /** Whether each answer carries the id of its request, so that a refusal cannot be taken for that of another request. */
  abstract readonly answersCarryRequestId: boolean;
  /** Returns the request headers for the server. */
  abstract headersFor(
    req: AttemptRequest,
    instance: string,
    remainingMs: Millis,
  ): HeaderMap;
  /** Classifies an answer by its status and headers. */
  abstract classifyAnswer(
    req: AttemptRequest,
    status: number,
    headers: IncomingHttpHeaders,
    rules: ServiceRules,
  ): AnswerClass;
  /** Returns the load contained in an answer, if there is one. */
  abstract loadOf(headers: IncomingHttpHeaders): ServerLoad | undefined;
  /** Returns what an answer says of the server beside its load; undefined if another instance has sent it. */
  abstract noticeOf(
    headers: IncomingHttpHeaders,
    instance: string,
  ): ServerNotice | undefined;
}

/** The default interface, with headers that begin with `gh-`. */
export class OwnServerInterface extends ServerInterface {
  override readonly answersCarryRequestId: boolean = false;

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

  override noticeOf(): ServerNotice {
    return {requestsPerSecond: undefined, leaving: false};
  }
}
