/** How a gateway reads requests of its callers and answers them. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorKind} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {ServiceRules} from '@goldcresthill/types';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import type {HeaderMap} from '../http/header_filter';
import {endToEndHeaders} from '../http/header_filter';
import {writeAnswer, writeError, writeWhole} from './answer_writer';
import type {AnswerContext} from './answer_writer';
import {readHead, serviceOf} from './call_reader';
import type {CallHead} from './call_reader';

const CALL_ID = /^[A-Za-z0-9._:-]{1,100}$/;

/** Rules by service. */
export type RulesByService = ReadonlyMap<string, ServiceRules>;

/** Words that callers use. Each deployment speaks one of them. */
export abstract class CallerInterface {
  /** Checks what a request asks for. Throws a BalancerError that says what is wrong. */
  abstract readHead(req: IncomingMessage, rules: RulesByService): CallHead;
  /** Names a call in logs. `own` is unique to this node and `seq` to its process. */
  abstract callIdOf(req: IncomingMessage, own: string, seq: number): string;
  /** Headers that go with the call to its server. */
  abstract forwardedHeaders(req: IncomingMessage): HeaderMap;
  abstract writeAnswer(
    res: ServerResponse,
    context: AnswerContext,
    result: AttemptResult & {type: 'answered'},
  ): void;
  /** Writes the answer of an earlier call. */
  abstract writeKept(
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

/** The project's own interface: headers that begin with `gh-`. */
export class OwnCallerInterface extends CallerInterface {
  override readHead(req: IncomingMessage, rules: RulesByService): CallHead {
    const service = serviceOf(req);
    return readHead(req, service, rules.get(service));
  }

  override callIdOf(req: IncomingMessage, own: string, seq: number): string {
    const parent = req.headers[HEADERS.callId];
    const known = typeof parent === 'string' && CALL_ID.test(parent);
    return known ? `${parent}.${seq}` : own;
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

  override writeKept(
    res: ServerResponse,
    context: AnswerContext,
    kept: BufferedAnswer,
  ): void {
    writeWhole(res, context, kept);
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
