/** Writes the body of a server's answer on to the next hop. */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {HeaderMap} from './header_filter';

const NO_CONTENT = 204;

/** Head of the answer that goes on, and the headers that the server gave. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly receivedHeaders: IncomingHttpHeaders;
}

/** Writes an answer that is whole in memory. */
export function endWithBody(
  res: ServerResponse,
  head: AnswerHead,
  bytes: Buffer,
): void {
  const {status, headers} = head;
  const receivedLength = head.receivedHeaders['content-length'];
  // The answer to HEAD names a length without having a body.
  const usesReceivedLength =
    bytes.length === 0 && typeof receivedLength === 'string';
  if (status !== NO_CONTENT) {
    headers['content-length'] = usesReceivedLength
      ? receivedLength
      : String(bytes.length);
  }
  res.writeHead(status, headers).end(bytes);
}

/** Passes a streamed answer on; if it breaks off, so does the connection. */
export function pipeStream(
  res: ServerResponse,
  head: Pick<AnswerHead, 'status' | 'headers'>,
  stream: Readable,
): void {
  stream.on('error', () => res.destroy());
  res.on('close', () => stream.destroy());
  res.writeHead(head.status, head.headers);
  stream.pipe(res);
}
