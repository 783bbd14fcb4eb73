import {connect} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {Listener} from './listener';

const MAX_HEADER_BYTES = 2_048;

let listener: Listener | undefined;

/** Sends text on a raw connection and returns everything that it receives. */
async function sendRaw(text: string): Promise<string> {
  listener = new Listener({
    host: '127.0.0.1',
    port: 0,
    maxHeaderBytes: MAX_HEADER_BYTES,
    handle: (_req, res) => res.end('handled'),
  });
  const port = await listener.listen();
  return new Promise(done => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    socket.setTimeout(2_000, () => socket.destroy());
    socket.on('data', data => (received += data.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => done(received));
  });
}

describe('Listener', () => {
  afterEach(() => listener?.close());

  it('answers 431 to a header block over the limit', async () => {
    const header = `x-long: ${'x'.repeat(MAX_HEADER_BYTES)}`;
    const answer = await sendRaw(
      `GET / HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n`,
    );
    expect(answer).toMatch(/^HTTP\/1\.1 431 /);
    expect(answer).toContain('gh-error-kind: headersTooLarge');
  });

  it('answers 400 to input that is not an HTTP request', async () => {
    const answer = await sendRaw('nonsense\r\n\r\n');
    expect(answer).toMatch(/^HTTP\/1\.1 400 /);
    expect(answer).toContain('gh-error-kind: malformedRequest');
  });

  it('answers 405 to CONNECT', async () => {
    const answer = await sendRaw('CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n');
    expect(answer).toMatch(/^HTTP\/1\.1 405 /);
    expect(answer).toContain('gh-error-kind: methodNotAllowed');
  });
});
