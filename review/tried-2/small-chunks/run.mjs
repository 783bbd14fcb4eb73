/** A sound server answers with a long chunked body in small chunks. */
import {dirname} from 'node:path';
import {get, Agent} from 'node:http';
import {fileURLToPath} from 'node:url';
import {newAttempt} from '../../lib-2/client.mjs';
import {runCase, sleep} from '../../lib-2/fleet.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
/** With TROUBLE=0 the script does the same without the disruption. */
const trouble = process.env.TROUBLE !== '0';
const paths = [
  {name: 'r-report', path_prefix: '/report/', type: 'idempotent', timeout: '10000ms', target_latency: '3000ms', priority: 1, service: 'catalogo', attempts: 2},
];
const BYTES = 24_000_000;
const SMALL_CHUNK = 500;
/** Pause of the client after each piece that it reads. */
const PAUSE_MS = 5;
const LARGE_CHUNK = 16_384;

function fetchReport(fleet, node, agent, chunk) {
  const attempt = newAttempt();
  fleet.record({what: 'sent', attempt, node: node.name});
  return new Promise(done => {
    const end = result => done({attempt, ...fleet.record({what: 'answered', attempt, ...result})});
    const req = get({
      host: node.ip,
      port: node.outbound,
      path: `/report/1?work=20&bytes=${BYTES}&chunk=${chunk}`,
      headers: {host: 'ficu95.example', 'x-attempt-id': attempt, 'x-deadline-ms': '9000'},
      agent,
    }, res => {
      let bytes = 0;
      res.on('data', data => {
        bytes += data.length;
        res.pause();
        setTimeout(() => res.resume(), PAUSE_MS);
      });
      res.on('end', () => end({status: res.statusCode, bytes, complete: res.complete && bytes === BYTES}));
      res.on('error', err => end({status: res.statusCode, bytes, complete: false, error: err.code}));
    });
    req.on('error', err => end({status: 0, complete: false, error: err.code}));
  });
}

await runCase({folder, trouble, machines: ['catalogo', 'catalogo', 'catalogo'], paths}, async fleet => {
  const chunk = trouble ? SMALL_CHUNK : LARGE_CHUNK;
  const results = [];
  for (const node of fleet.nodes) {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    for (let i = 0; i < 2; i++) results.push(await fetchReport(fleet, node, agent, chunk));
    agent.destroy();
  }
  await sleep(300);
  const lost = results.filter(({complete}) => !complete);
  fleet.record({what: 'check', chunk, sent: results.length, incomplete: lost.length});
  return lost.length > 3;
});
