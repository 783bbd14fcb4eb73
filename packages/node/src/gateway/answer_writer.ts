/** Writes answers and errors to callers. */
import type {ServerResponse} from 'node:http';
import type {ErrorKind} from '@goldcresthill/errors';
import {answerFor} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {RunState} from '@goldcresthill/types';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import {endWhole, pipeStream} from '../http/answer_body';
import {endToEndHeaders} from '../http/header_filter';

/** What goes with each answer. */
export interface AnswerContext {
  readonly callId: string;
  readonly server?: string;
  /** The connection is to be closed after this answer. */
  readonly closing: boolean;
}

/** Writes the answer of a server. A streamed one that breaks off destroys the connection. */
export function writeAnswer(
  res: ServerResponse,
  context: AnswerContext,
  result: AttemptResult & {type: 'answered'},
): void {
  if (result.body.type === 'stream') {
    const own = ownHeaders(context, 'ran', false);
    const head = {
      status: result.status,
      headers: {...endToEndHeaders(result.headers), ...own},
    };
    pipeStream(res, head, result.body.stream);
    return;
  }
  const {status, headers} = result;
  writeWhole(res, context, {status, headers, body: result.body.bytes});
}

/** Writes an answer that is whole in memory. */
export function writeWhole(
  res: ServerResponse,
  context: AnswerContext,
  answer: BufferedAnswer,
): void {
  if (res.destroyed) return;
  const headers = {
    ...endToEndHeaders(answer.headers),
    ...ownHeaders(context, 'ran', false),
  };
  const {status} = answer;
  endWhole(res, {status, headers, received: answer.headers}, answer.body);
}

/** Writes an error of a kind. */
export function writeError(
  res: ServerResponse,
  context: AnswerContext,
  kind: ErrorKind,
  detail = '',
): void {
  if (res.destroyed || res.headersSent) return;
  const {status, runState, resendSafe} = answerFor(kind);
  const body = JSON.stringify({
    kind,
    runState,
    resendSafe,
    detail,
    callId: context.callId,
  });
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    [HEADERS.errorKind]: kind,
    ...ownHeaders(context, runState, resendSafe),
  });
  res.end(body);
}

function ownHeaders(
  context: AnswerContext,
  runState: RunState,
  resendSafe: boolean,
): Record<string, string> {
  const headers: Record<string, string> = {
    [HEADERS.callId]: context.callId,
    [HEADERS.runState]: runState,
    [HEADERS.resendSafe]: String(resendSafe),
  };
  if (context.server !== undefined) headers[HEADERS.server] = context.server;
  if (context.closing) headers['connection'] = 'close';
  return headers;
}
