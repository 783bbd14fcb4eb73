/** Forwards the body of a server's answer to the next hop. */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {AnswerStream} from './answer_stream';
import {endAtReaderPace} from './body_writer';
import type {HeaderMap} from './header_filter';
import type {InputBudget} from './input_budget';

const NO_CONTENT = 204;

/** Status and headers to send, and the headers received from the server. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly receivedHeaders: IncomingHttpHeaders;
}

/** Writes an answer whose body is buffered completely. What waits for its reader is accounted to `budget`. */
export function endWithBody(
  res: ServerResponse,
  head: AnswerHead,
  bytes: Buffer,
  budget?: InputBudget,
): void {
  const {status, headers} = head;
  const receivedLength = head.receivedHeaders['content-length'];
  // The answer to a HEAD request declares a length but has no body.
  const usesReceivedLength =
    bytes.length === 0 && typeof receivedLength === 'string';
  if (status !== NO_CONTENT) {
    headers['content-length'] = usesReceivedLength
      ? receivedLength
      : String(bytes.length);
  }
  res.writeHead(status, headers);
  endAtReaderPace(res, bytes, budget);
}

/** Forwards a streamed answer; if the stream fails, the connection is destroyed. Its time is bounded by the owner of the stream. */
export function pipeStream(
  res: ServerResponse,
  head: Pick<AnswerHead, 'status' | 'headers'>,
  stream: AnswerStream,
): void {
  stream.on('error', () => res.destroy());
  res.on('close', () => stream.destroy());
  res.writeHead(head.status, head.headers);
  stream.pipe(res);
}
