/** Allocates ports that no other test process takes before they are used. */
import {createServer} from 'node:net';
import process from 'node:process';
import {threadId} from 'node:worker_threads';

/** Ports reserved for one process or worker, so that test files that run in parallel do not collide. */
const PORTS_PER_BLOCK = 200;
const BLOCK_COUNT = 100;
/** All blocks lie below 32,768, the first port that Linux uses for outgoing connections. */
const FIRST_PORT = 10_000;
/** Separates the blocks of processes with consecutive ids; coprime with the number of blocks, so that all blocks are used. */
const PROCESS_STRIDE = 7;
const HOST = '127.0.0.1';

const PORT_COUNT = BLOCK_COUNT * PORTS_PER_BLOCK;

let nextOffset =
  ((process.pid * PROCESS_STRIDE + threadId) % BLOCK_COUNT) * PORTS_PER_BLOCK;

/** Returns ports on the loopback interface that no process listens on; a port is returned again only after all others. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + (nextOffset++ % PORT_COUNT);
    if (await canListen(port)) ports.push(port);
  }
  return ports;
}

function canListen(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(done => {
    server.once('error', () => done(false));
    server.listen(port, HOST, () => server.close(() => done(true)));
  });
}
