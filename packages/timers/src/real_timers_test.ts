import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RealTimers} from './real_timers';
import type {Timers} from './timers';

const HOST = '127.0.0.1';
const DELAY_MS = 10;
const BLOCKED_MS = 50;

let receiver: Socket;
let sender: Socket;
let timers: Timers;

/** Sends a datagram that arrives while this process stands still, as when its VM is frozen, and timers of `DELAY_MS` become due. */
async function receiveWhileBlocked(): Promise<void> {
  const {port} = receiver.address();
  await new Promise(done => sender.send('x', port, HOST, done));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS);
}

describe('RealTimers', () => {
  beforeEach(async () => {
    timers = new RealTimers();
    receiver = createSocket('udp4');
    sender = createSocket('udp4');
    await new Promise<void>(done => receiver.bind(0, HOST, done));
    await new Promise<void>(done => sender.bind(0, HOST, done));
  });

  afterEach(() => {
    receiver.close();
    sender.close();
  });

  // A process that had stood still took messages for lost that lay in its sockets.
  it('run a late timer only after what has arrived before it has been read', async () => {
    const events: string[] = [];
    receiver.on('message', () => events.push('message'));
    const due = new Promise<void>(done =>
      timers.after(DELAY_MS, () => {
        events.push('timer');
        done();
      }),
    );
    const ticked = new Promise<void>(done => {
      const cancel = timers.every(DELAY_MS, () => {
        events.push('interval');
        cancel();
        done();
      });
    });
    await receiveWhileBlocked();
    await Promise.all([due, ticked]);
    expect(events).toEqual(['message', 'timer', 'interval']);
  });

  // Guards against a process that ends because of an error in a timer.
  it('report what a function throws and keep running', async () => {
    const faults: string[] = [];
    const guarded = new RealTimers({onFault: err => faults.push(String(err))});
    await new Promise<void>(done => {
      let runs = 0;
      const cancel = guarded.every(1, () => {
        if (++runs < 3) throw new Error(`run ${runs}`);
        cancel();
        done();
      });
    });
    expect(faults).toEqual(['Error: run 1', 'Error: run 2']);
  });

  // A call ended as timed out although its answer lay in the socket.
  it('can be cancelled by a message that arrived before they ran late', async () => {
    const ran: string[] = [];
    const cancelTimer = timers.after(DELAY_MS, () => ran.push('timer'));
    const cancelInterval = timers.every(DELAY_MS, () => ran.push('interval'));
    receiver.on('message', () => {
      cancelTimer();
      cancelInterval();
    });
    await receiveWhileBlocked();
    await timers.sleep(BLOCKED_MS);
    expect(ran).toEqual([]);
  });
});
