/** Writes answers and errors to callers. */
import type {ServerResponse} from 'node:http';
import type {ErrorKind} from '@goldcresthill/errors';
import {answerFor} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {RunState} from '@goldcresthill/types';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import {endWithBody, pipeStream} from '../http/answer_body';
import {endToEndHeaders} from '../http/header_filter';
import type {InputBudget} from '../http/input_budget';

/** What an answer to a caller needs besides its content: the call, the server and the connection. */
export interface AnswerContext {
  readonly callId: string;
  readonly server?: string;
  /** Whether to close the connection after this answer. */
  readonly closeConnection: boolean;
  /** Time after which a refused caller may be served, milliseconds, if it is known. */
  readonly retryAfterMs?: number;
  /** Accounts for what waits for the caller to read it. */
  readonly budget?: InputBudget;
}

/** Writes the answer of a server. If a streamed answer breaks off, the connection is destroyed. */
export function writeAnswer(
  res: ServerResponse,
  context: AnswerContext,
  result: AttemptResult & {type: 'answered'},
): void {
  if (result.body.type === 'stream') {
    const addedHeaders = balancerHeaders(context, 'ran', false);
    const head = {
      status: result.status,
      headers: {...endToEndHeaders(result.headers), ...addedHeaders},
    };
    pipeStream(res, head, result.body.stream);
    return;
  }
  const {status, headers} = result;
  writeBufferedAnswer(res, context, {status, headers, body: result.body.bytes});
}

/** Writes an answer whose body is buffered completely. */
export function writeBufferedAnswer(
  res: ServerResponse,
  context: AnswerContext,
  answer: BufferedAnswer,
): void {
  if (res.destroyed) return;
  const headers = {
    ...endToEndHeaders(answer.headers),
    ...balancerHeaders(context, 'ran', false),
  };
  const {status} = answer;
  endWithBody(
    res,
    {status, headers, receivedHeaders: answer.headers},
    answer.body,
    context.budget,
  );
}

/** Writes the error answer for an error kind, unless an answer has already been started. */
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
    ...balancerHeaders(context, runState, resendSafe),
  });
  res.end(body);
}

function balancerHeaders(
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
  if (context.closeConnection) headers['connection'] = 'close';
  return headers;
}
