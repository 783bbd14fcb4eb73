/** Allocates ports that no other test process takes before they are used. */
import {createServer} from 'node:net';
import type {Server} from 'node:net';
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

/** A block of ports. Its first port is listened on as long as the block is claimed. */
class PortBlock {
  private nextOffset = 1;

  constructor(
    private readonly index: number,
    private readonly lock: Server,
  ) {}

  next(): number {
    const offset = 1 + (this.nextOffset++ % (PORTS_PER_BLOCK - 1));
    return firstPortOf(this.index) + offset;
  }

  close(): void {
    this.lock.close();
  }
}

let block: Promise<PortBlock> | undefined;

/** Claims a block that no other process holds, starting with one chosen by `preferred`. */
export async function claimPortBlock(preferred: number): Promise<PortBlock> {
  for (let i = 0; i < BLOCK_COUNT; i++) {
    const index = (preferred + i) % BLOCK_COUNT;
    const lock = await listen(firstPortOf(index));
    if (lock === undefined) continue;
    lock.unref();
    return new PortBlock(index, lock);
  }
  throw new RangeError(`all ${BLOCK_COUNT} blocks of ports are claimed`);
}

/** Returns ports on the loopback interface that no process listens on; a port is returned again only after all others of this process. */
export async function freePorts(count: number): Promise<number[]> {
  block ??= claimPortBlock(process.pid * PROCESS_STRIDE + threadId);
  const claimed = await block;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = claimed.next();
    const server = await listen(port);
    if (server === undefined) continue;
    await new Promise(done => server.close(done));
    ports.push(port);
  }
  return ports;
}

function firstPortOf(blockIndex: number): number {
  return FIRST_PORT + blockIndex * PORTS_PER_BLOCK;
}

/** Listens on a port; undefined if it is in use. */
function listen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(done => {
    server.once('error', () => done(undefined));
    server.listen(port, HOST, () => done(server));
  });
}
