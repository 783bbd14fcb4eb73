// DRAIN: a liveness report of another writer, without a field, brings a server back into use that has been acknowledged as draining.
import {request} from 'node:http';
import {desiredState, runCase, sleep} from '../lib-3/fleet.mjs';
import {Load, startServers} from '../lib-3/load.mjs';

const DRAIN_MS = 2_000;
const SERVES_ON_MS = 7_000; // drain and "at times many seconds"

const HOST = 'shop.example';
const routes = [
  {
    name: 'look',
    host: HOST,
    path_prefix: '/look/',
    type: 'idempotent',
    service: 'svc-a',
  },
  {
    name: 'order',
    host: HOST,
    path_prefix: '/order/',
    type: 'non_idempotent',
    service: 'svc-a',
  },
];

runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  await fleet.create(
    ['z-a', 'z-b', 'z-c'].map(zone => ({service: 'svc-a', zone})),
  );
  fleet.store.operatorPut('config', 'main', desiredState(3, ['svc-a'], routes));
  await fleet.start();
  const servers = await startServers(fleet, recorder, {workMs: 100});
  await sleep(5_000);
  const load = new Load(fleet.machines, recorder, {
    kinds: [
      {kind: 'look', host: HOST, path: '/look/1'},
      {kind: 'order', method: 'POST', host: HOST, path: '/order/1'},
    ],
  });
  load.start();
  await sleep(2_000);

  const [server] = servers;
  const [machine] = fleet.machines;
  server.phase = 'draining';
  const status = await server.report('draining');
  const ackedAt = Date.now();
  recorder.add('draining acknowledged', {server: server.id, status});
  if (status !== 200) throw new Error('the drain was not acknowledged');
  await sleep(1_000);
  if (isTrouble)
    recorder.add('report of another writer', {
      status: await reportWithoutZone(machine, server),
    });
  await sleep(SERVES_ON_MS - 1_000);
  const deregistered = await server.deregister().catch(() => 0);
  recorder.add('server deregisters and exits', {status: deregistered});
  await server.crash();
  const exitedAt = Date.now();
  await sleep(1_000);

  // Not part of the check: the same report with an id that no server has, at the machines of the two servers that are left.
  const strayAt = Date.now();
  if (isTrouble)
    for (const i of [1, 2]) {
      const status = await reportWithoutZone(
        fleet.machines[i],
        servers[i],
        `i-unknown-${i}`,
      );
      recorder.add('report of another writer about no server', {
        node: fleet.machines[i].name,
        status,
      });
    }
  await sleep(15_000);
  await load.stop();

  const late = server.runs.filter(run => run.at > ackedAt + DRAIN_MS);
  const lateIds = new Set(late.map(run => run.id));
  const summary = {
    runsAtServer: server.runs.length,
    late: late.length,
    lastAfterAckMs: late.length > 0 ? late.at(-1).at - ackedAt : 0,
    exitAfterAckMs: exitedAt - ackedAt,
    answersOfLate: load.counts(answer => lateIds.has(answer.id)),
    answersBeforeStray: load.counts(answer => answer.sentAt < strayAt),
    answersUpTo10sAfterStray: load.counts(
      answer => answer.sentAt >= strayAt && answer.sentAt < strayAt + 10_000,
    ),
    answersLater: load.counts(answer => answer.sentAt >= strayAt + 10_000),
  };
  recorder.add('summary', summary);
  console.log(summary);
  for (const other of servers.slice(1)) await other.crash();
  return late.length > 0
    ? [
        `DRAIN: ${late.length} requests reached the server later than ${DRAIN_MS} ms after the acknowledgement`,
      ]
    : [];
});

/** A report as in PROTOCOL.md, but for the field `zone`; its writer has started now. */
function reportWithoutZone(machine, server, id = server.id) {
  const body = JSON.stringify({
    service: server.service,
    address: `${server.host}:${server.port}`,
    version: 'v1',
    capacity: server.slots,
    phase: 'ready',
    cold_remaining: '0ms',
    sequence: 1,
    born: Date.now(),
  });
  const [host, port] = machine.control.split(':');
  return new Promise((done, fail) => {
    const req = request(
      {
        host,
        port,
        method: 'PUT',
        path: `/v1/instances/${id}`,
        agent: false,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      },
      res => {
        res.resume();
        res.on('end', () => done(res.statusCode));
      },
    );
    req.on('error', fail);
    req.end(body);
  });
}
