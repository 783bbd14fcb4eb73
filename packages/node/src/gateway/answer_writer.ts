/** Writes answers and errors to callers. */
import type {ServerResponse} from 'node:http';
import type {ErrorKind} from '@goldcresthill/errors';
import {answerTo} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {RunState} from '@goldcresthill/types';
import type {AttemptResult, KeptAnswer} from '../gate/messages';
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
    const {stream} = result.body;
    stream.on('error', () => res.destroy());
    res.on('close', () => stream.destroy());
    res.writeHead(result.status, {
      ...endToEndHeaders(result.headers),
      ...ownHeaders(context, 'ran', false),
    });
    stream.pipe(res);
    return;
  }
  const {status, headers} = result;
  writeWhole(res, context, {status, headers, body: result.body.bytes});
}

/** Writes an answer that is whole in memory. */
export function writeWhole(
  res: ServerResponse,
  context: AnswerContext,
  answer: KeptAnswer,
): void {
  if (res.destroyed) return;
  const headers = {
    ...endToEndHeaders(answer.headers),
    ...ownHeaders(context, 'ran', false),
  };
  const length = answer.headers['content-length'];
  const named =
    answer.body.length === 0 && typeof length === 'string' ? length : undefined;
  if (answer.status !== 204) {
    headers['content-length'] = named ?? String(answer.body.length);
  }
  res.writeHead(answer.status, headers).end(answer.body);
}

/** Writes an error of a kind. */
export function writeError(
  res: ServerResponse,
  context: AnswerContext,
  kind: ErrorKind,
  detail = '',
): void {
  if (res.destroyed || res.headersSent) return;
  const {status, runState, resendSafe} = answerTo(kind);
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
