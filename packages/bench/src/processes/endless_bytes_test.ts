import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {ENDLESS_FAULTS} from '@goldcresthill/test-utils';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ProcessVms, VIRTUAL_HOST} from './testing/process_vms';

/** As in the settings of the processes. */
const MAX_MEMORY_BYTES = 256 * 1_048_576;
const CALLERS = 24;
const DEADLINE_MS = 1_500;
/** Time by which an answer may come later than its deadline. */
const LATE_MS = 500;
/** Time for which callers do not read. */
const NOT_READING_MS = 3_000;
const MANY_ANSWERS = 10_000;

let processes: ProcessVms;
let sockets: Socket[];

/** Sends a request and reads nothing of the answer. */
function callWithoutReading(index: number): void {
  const {host} = processes.vm(index).options;
  const socket = connect(processes.vm(index).outboundPort, host, () => {
    socket.write(
      `GET / HTTP/1.1\r\nhost: ${VIRTUAL_HOST}\r\nx-attempt-id: n${sockets.length}\r\nx-deadline-ms: 8000\r\n\r\n`,
    );
    socket.pause();
  });
  socket.on('error', () => undefined);
  sockets.push(socket);
}

function expectBoundedMemory(): void {
  expect(processes.exits).toEqual([]);
  const peaks = processes.vms.map(vm => vm.peakMemory() ?? 0);
  expect(Math.max(...peaks)).toBeLessThan(MAX_MEMORY_BYTES);
}

async function expectServing(): Promise<void> {
  await processes.until(async () => {
    const answers = await Promise.all([0, 1, 2].map(i => processes.call(i)));
    return answers.every(({status}) => status === 200);
  });
}

describe('a process that gets bytes without end', () => {
  beforeEach(async () => {
    sockets = [];
    processes = new ProcessVms();
    await processes.open(3);
    await processes.start([1, 2]);
  });

  afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await processes.close();
  });

  // Guards against a node that keeps what a faulty server sends until its memory is used up.
  it.each(ENDLESS_FAULTS)(
    'from one of its servers, with %s, bounds its memory and answers all callers',
    async fault => {
      processes.vm(1).breakAnswers(fault, MANY_ANSWERS);
      const answers = await Promise.all(
        Array.from({length: CALLERS}, (_, i) =>
          processes.call(i % 3, {deadlineMs: DEADLINE_MS}),
        ),
      );
      const late = answers.filter(a => a.elapsedMs > DEADLINE_MS + LATE_MS);
      expect(late).toEqual([]);
      expectBoundedMemory();
      processes.vm(1).breakAnswers(fault, 0);
      await expectServing();
    },
  );

  it('from a server, for callers that do not read, bounds its memory', async () => {
    for (const vm of processes.vms.slice(1))
      vm.breakAnswers('endlessBody', MANY_ANSWERS);
    for (let i = 0; i < CALLERS; i++) callWithoutReading(i % 3);
    await sleep(NOT_READING_MS);
    expectBoundedMemory();
    sockets.forEach(socket => socket.destroy());
    for (const vm of processes.vms.slice(1)) vm.breakAnswers('silent', 0);
    await expectServing();
  });

  it('from the store, bounds its memory and goes on serving', async () => {
    const endless = createServer((_req, res) => {
      res.writeHead(200, {'content-type': 'application/json'});
      const write = (): void => {
        while (!res.destroyed && res.write('x'.repeat(65_536))) {
          // Until the buffer is full.
        }
      };
      res.on('drain', write);
      write();
    });
    await new Promise<void>(done => endless.listen(0, '127.0.0.1', done));
    const address = endless.address();
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    processes.vms.forEach(vm => vm.moveStoreLink(port));
    await sleep(NOT_READING_MS);
    expectBoundedMemory();
    await expectServing();
    endless.closeAllConnections();
    endless.close();
  });
});
