// Usual traffic of a small deployment: some clients on each machine, with kept connections.
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from './client.mjs';
import {BOUNDS, desiredState, Fleet, VIRTUAL_HOST} from './fleet.mjs';

const SERVICES = ['orders', 'orders', 'orders', 'booking', 'booking', 'booking'];
const DEADLINE_MS = 1_000;
/** Lets the servers become known everywhere. */
const SETTLE_MS = 1_500;

export const ROUTES = [
  {path_prefix: '/', type: 'idempotent', service: 'orders', timeout: '1000ms'},
  {path_prefix: '/place/', type: 'non_idempotent', service: 'orders', timeout: '1000ms'},
  {path_prefix: '/book/', type: 'non_idempotent', service: 'booking', timeout: '1000ms'},
  {path_prefix: '/check/', type: 'idempotent', service: 'booking', timeout: '1000ms'},
];

const KINDS = [
  {method: 'GET', path: '/stock/item', body: ''},
  {method: 'POST', path: '/place/item', body: 'one order'},
  {method: 'PUT', path: '/book/item', body: 'one booking'},
  {method: 'GET', path: '/check/item', body: ''},
];

/** Starts nodes, servers and clients, and waits until all processes are in touch. */
export async function startFleet(context, options = {}) {
  const {recorder} = context;
  const {workMs = 120, clients = 5, items = 1, server = {}} = options;
  const runs = new Map();
  const fleet = new Fleet(recorder, SERVICES);
  context.fleet = fleet;
  const onRun = (attempt, at, req) => {
    const all = runs.get(attempt) ?? [];
    runs.set(attempt, [...all, {server: at.options.id, at: recorder.now(), path: req.url}]);
  };
  await fleet.start(desiredState('r3', ROUTES));
  await Promise.all(
    fleet.machines.map(machine =>
      machine.startServer(`i-${machine.index}`, {workMs, onRun, ...server}),
    ),
  );
  await sleep(SETTLE_MS);
  const all = fleet.machines.flatMap(machine =>
    Array.from({length: clients}, (_, i) =>
      new Client(recorder, {
        outbound: machine.outbound,
        virtualHost: VIRTUAL_HOST,
        pauseMs: 60,
        makeRequest: () => {
          const kind = KINDS[(i + Math.floor(Math.random() * KINDS.length)) % KINDS.length];
          const item = Math.floor(Math.random() * items);
          return {...kind, path: `${kind.path}${item}`, deadlineMs: DEADLINE_MS};
        },
      }),
    ),
  );
  all.forEach(client => client.start());
  const last = Math.max(...fleet.machines.map(m => m.startedAt));
  await sleep(Math.max(0, last + BOUNDS.contactMs - recorder.now()) + 1_000);
  return {fleet, runs, onRun, clients: all};
}

export async function stopTraffic(clients) {
  await Promise.all(clients.map(client => client.stop()));
  return clients.flatMap(client => client.outcomes);
}

/** Counts the outcomes by type and status, for the record. */
export function summarize(outcomes) {
  const counts = {};
  for (const {type, status} of outcomes) {
    const key = type === 'answer' ? String(status) : type;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return JSON.stringify(counts);
}

/** Requests on kept connections that a server began to run and whose connection was closed without an answer. */
export function lostRequests(outcomes, runs) {
  return outcomes.filter(
    o => o.type === 'closed' && o.kept && o.wholeSent && runs.has(o.attempt),
  );
}
