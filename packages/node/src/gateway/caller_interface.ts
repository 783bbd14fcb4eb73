/** HTTP interface between a gateway and its callers: reads requests and writes answers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorKind} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {ServiceRules} from '@goldcresthill/types';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import type {HeaderMap} from '../http/header_filter';
import {endToEndHeaders} from '../http/header_filter';
import {writeAnswer, writeError, writeBufferedAnswer} from './answer_writer';
import type {AnswerContext} from './answer_writer';
import {readHead, serviceOf} from './call_head';
import type {CallHead} from './call_head';

/** Shorter than the longest accepted call ID, to leave room for the sequence number that is appended. */
const PARENT_CALL_ID = /^[A-Za-z0-9._:-]{1,100}$/;

/** Rules by service. */
export type RulesByService = ReadonlyMap<string, ServiceRules>;

/** The headers and error format that callers use. Each deployment has one implementation. */
export abstract class CallerInterface {
  /** Parses and validates the headers of a request. Throws a BalancerError if one is missing or invalid. */
  abstract readHead(req: IncomingMessage, rules: RulesByService): CallHead;
  /**
   * Checks again, when the request has been received whole and is about to be
   * handed on, that it may be served. Throws a BalancerError if it may not.
   */
  abstract confirmHead(req: IncomingMessage, head: CallHead): void;
  /** Returns the identity of a call in logs. `generatedId` is unique in the fleet, `seq` in this process. */
  abstract callIdOf(
    req: IncomingMessage,
    generatedId: string,
    seq: number,
  ): string;
  /** Returns the headers to forward to the server. */
  abstract forwardedHeaders(req: IncomingMessage, head: CallHead): HeaderMap;
  abstract writeAnswer(
    res: ServerResponse,
    context: AnswerContext,
    result: AttemptResult & {type: 'answered'},
  ): void;
  /** Writes the stored answer of an earlier call with the same idempotency key. */
  abstract writeKeptAnswer(
    res: ServerResponse,
    context: AnswerContext,
    kept: BufferedAnswer,
  ): void;
  abstract writeError(
    res: ServerResponse,
    context: AnswerContext,
    kind: ErrorKind,
    detail?: string,
  ): void;
}

/** Goldcresthill's own interface, whose headers begin with `gh-`. */
export class OwnCallerInterface extends CallerInterface {
  override readHead(req: IncomingMessage, rules: RulesByService): CallHead {
    const service = serviceOf(req);
    return readHead(req, service, rules.get(service));
  }

  /** No request is refused for what has changed since its head was read. */
  override confirmHead(): void {}

  override callIdOf(
    req: IncomingMessage,
    generatedId: string,
    seq: number,
  ): string {
    const parent = req.headers[HEADERS.callId];
    const isValid = typeof parent === 'string' && PARENT_CALL_ID.test(parent);
    return isValid ? `${parent}.${seq}` : generatedId;
  }

  override forwardedHeaders(req: IncomingMessage): HeaderMap {
    return endToEndHeaders(req.headers);
  }

  override writeAnswer(
    res: ServerResponse,
    context: AnswerContext,
    result: AttemptResult & {type: 'answered'},
  ): void {
    writeAnswer(res, context, result);
  }

  override writeKeptAnswer(
    res: ServerResponse,
    context: AnswerContext,
    kept: BufferedAnswer,
  ): void {
    writeBufferedAnswer(res, context, kept);
  }

  override writeError(
    res: ServerResponse,
    context: AnswerContext,
    kind: ErrorKind,
    detail?: string,
  ): void {
    writeError(res, context, kind, detail);
  }
}
