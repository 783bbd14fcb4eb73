/**
 * Clients ask for answers of a little less than 1 MB and do not read them. As on the platform, a process that exceeds
 * `memory_mb` is killed and started again. Six other clients wait for answers on kept connections.
 */
import {readFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Client, newAttempt} from '../../lib-2/client.mjs';
import {runCase, sleep} from '../../lib-2/fleet.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
/** With TROUBLE=0 the script does the same without the disruption. */
const trouble = process.env.TROUBLE !== '0';
const paths = [
  {name: 'r-order', path_prefix: '/order/', type: 'non_idempotent', timeout: '1000ms', target_latency: '300ms', priority: 1, service: 'catalogo', attempts: 2},
  {name: 'r-report', path_prefix: '/report/', type: 'idempotent', timeout: '3000ms', target_latency: '800ms', priority: 2, service: 'catalogo', attempts: 2},
];
const MEMORY_MB = 350;
const ANSWER_BYTES = 1_000_000;
/** Connections of clients that do not read, and requests that each of them sends at once (HTTP/1.1 pipelining). */
const IDLE_READERS = 80;
const PIPELINED = 10;
const CLIENTS = 6;
const KB_PER_MB = 1_024;

function residentMb({child}) {
  if (child === undefined) return 0;
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  return Number(/^VmRSS:\s*(\d+)/m.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

/** Kills a process that exceeds its memory, as DEPLOY.md says. */
function limitMemory(fleet) {
  let peak = 0;
  const timer = setInterval(() => {
    for (const node of fleet.nodes) {
      const mb = residentMb(node);
      peak = Math.max(peak, mb);
      if (mb <= MEMORY_MB || node.isOverMemory) continue;
      node.isOverMemory = true;
      fleet.record({what: 'over memory', node: node.name, residentMb: Math.round(mb), memory_mb: MEMORY_MB});
      node.child.kill('SIGKILL');
    }
  }, 50);
  return {
    peakMb: () => Math.round(peak),
    stop: () => clearInterval(timer),
  };
}

await runCase({folder, trouble, machines: ['catalogo', 'catalogo', 'catalogo'], paths}, async fleet => {
  const [node] = fleet.nodes;
  const memory = limitMemory(fleet);
  const clients = await Promise.all(Array.from({length: CLIENTS}, () => new Client(fleet, node).open()));
  const post = (client, work) => client.request({method: 'POST', path: `/order/1?work=${work}`, attempt: newAttempt(), deadlineMs: 1_000});
  for (const client of clients) await post(client, 20);
  // Each client sends one order after the other on its kept connection, until that closes.
  let isOver = false;
  const loops = clients.map(async client => {
    while (!isOver && (await post(client, 300)).status !== 0);
  });
  const readers = [];
  if (trouble) {
    fleet.record({what: 'disruption', node: node.name, clientsThatDoNotRead: IDLE_READERS, answerBytes: ANSWER_BYTES});
    for (let i = 0; i < IDLE_READERS && !node.isOverMemory; i++) {
      const reader = await new Client(fleet, node).open();
      readers.push(reader);
      reader.socket.pause();
      const request = () => reader.head({method: 'GET', path: `/report/1?work=5&bytes=${ANSWER_BYTES}`, attempt: newAttempt(), deadlineMs: 3_000});
      reader.write(Array.from({length: PIPELINED}, request).join(''));
      await sleep(50);
    }
  }
  await sleep(2_000);
  isOver = true;
  await Promise.all(loops);
  memory.stop();
  const runs = new Set(fleet.all('run begins').filter(({path}) => path.startsWith('/order/')).map(({attempt}) => attempt));
  const lost = fleet.all('answered').filter(({attempt, status}) => status === 0 && runs.has(attempt));
  fleet.record({what: 'check', peakMb: memory.peakMb(), readers: readers.length, ordersRun: runs.size, lostAfterRun: lost.length});
  [...clients, ...readers].forEach(client => client.close());
  // LOST: more than three requests from kept connections passed on to a sound server and closed without an answer.
  return lost.length > 3;
});
