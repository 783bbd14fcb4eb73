import {PassThrough, Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {BoundedSink} from './bounded_sink';
import {Logger} from './logger';

describe('Logger', () => {
  it('writes a JSON line for a decision in a later turn of the event loop', async () => {
    const stream = new PassThrough();
    const logger = new Logger({node: 'vm-1', stream});
    logger.decision({what: 'route', server: 'vm-2/orders', reason: 'shortest'});
    expect(stream.readableLength).toBe(0);
    await new Promise(done => setImmediate(() => setImmediate(done)));
    const line = JSON.parse(String(stream.read()));
    expect(line).toMatchObject({
      level: 'info',
      message: 'decision',
      node: 'vm-1',
      what: 'route',
      server: 'vm-2/orders',
    });
    expect(Object.keys(line)[0]).toBe('timestamp');
  });

  it('drops lines instead of waiting for a slow target', () => {
    const slow = new Writable({highWaterMark: 1, write: () => undefined});
    const sink = new BoundedSink(slow, 3);
    for (let i = 0; i < 10; i++) sink.write(`line ${i}\n`);
    expect(sink.dropped).toBe(6);
  });

  it('drops lines without an error when its target is closed', async () => {
    const closed = new PassThrough();
    const sink = new BoundedSink(closed, 3);
    closed.destroy();
    await new Promise(done => setImmediate(done));
    sink.write('line\n');
    expect(sink.dropped).toBe(1);
  });
});
