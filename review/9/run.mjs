/**
 * A server deregisters while the store is down and gets its ack. Then all processes of the system are killed at once and
 * start again. A report that the server sent before it left arrives late.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Client, newAttempt} from '../lib-2/client.mjs';
import {runCase, sleep} from '../lib-2/fleet.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
/** With TROUBLE=0 the script does the same without the disruption. */
const trouble = process.env.TROUBLE !== '0';
const paths = [
  {name: 'r-stock', path_prefix: '/stock/', type: 'idempotent', timeout: '800ms', target_latency: '300ms', priority: 2, service: 'catalogo', attempts: 2},
];
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const STORE_DOWN_MS = 4_500;
/** The late report arrives so long after it was sent. */
const LATE_MS = 3_000;
/** The server serves so long after the ack. */
const SERVES_MS = 12_000;

await runCase({folder, trouble, machines: ['catalogo', 'catalogo', 'catalogo'], paths}, async fleet => {
  const [server] = fleet.servers;
  const startedAt = Date.now();
  const at = ms => sleep(Math.max(0, startedAt + ms - Date.now()));
  const steps = [];
  if (trouble) {
    fleet.store.setSilent(true);
    fleet.record({what: 'disruption', store: 'silent'});
    steps.push(at(STORE_DOWN_MS).then(() => {
      fleet.store.setSilent(false);
      fleet.record({what: 'disruption', store: 'back'});
    }));
  }
  await at(500);
  const report = server.report('ready');
  steps.push(at(500 + LATE_MS).then(async () => {
    const status = await server.beat(report);
    fleet.record({what: 'late report', server: server.id, sentMsAgo: LATE_MS, status});
  }));
  await at(600);
  server.stopBeats();
  const status = await server.leave();
  const ackAt = Date.now();
  fleet.record({what: 'deregistered', server: server.id, status});
  if (status !== 200) throw new Error('no ack');
  await sleep(50);
  if (trouble) for (const node of fleet.nodes) fleet.kill(node);
  // From here on, the store and all machines have been without disruption for longer than `contact`.
  await at(STORE_DOWN_MS + CONTACT_MS + 500);
  const firstAt = Date.now() - fleet.startedAt;
  while (Date.now() < ackAt + SERVES_MS - 1_000) {
    for (const node of fleet.nodes) {
      const client = await new Client(fleet, node).open();
      const attempt = newAttempt();
      client.request({method: 'GET', path: '/stock/1?work=20', attempt, deadlineMs: 800}).then(() => client.close());
    }
    await sleep(100);
  }
  await Promise.all(steps);
  await sleep(900);
  const late = fleet.all('run begins').filter(run => run.server === server.id && run.ms >= firstAt);
  const ackMs = ackAt - fleet.startedAt;
  fleet.record({
    what: 'check',
    runsAtOthers: fleet.all('run begins').length - late.length,
    runsAtTheServerThatLeft: late.length,
    firstMsAfterAck: late[0] && late[0].ms - ackMs,
    lastMsAfterAck: late.length > 0 ? late.at(-1).ms - ackMs : undefined,
  });
  // DRAIN: a request reaches a server later than `drain` after its leaving was acknowledged.
  return late.some(({ms}) => ms > ackMs + DRAIN_MS);
});
