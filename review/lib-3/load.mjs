// A steady load of clients, on the machines in turn, each request on a new connection.
import {AppServer} from './app_server.mjs';
import {HEARTBEAT_MS, send} from './fleet.mjs';

/** Starts a server on each machine; resolves to them. */
export async function startServers(
  fleet,
  recorder,
  {workMs = 20, slots = 10} = {},
) {
  const servers = [];
  for (const machine of fleet.machines) {
    const server = newServer(machine, recorder, {
      id: `i-${machine.name}`,
      workMs,
      slots,
    });
    await server.listen();
    server.startReports(HEARTBEAT_MS);
    servers.push(server);
  }
  return servers;
}

/** A server for a machine, which is not started. */
export function newServer(machine, recorder, options) {
  const {service, host, zone, control, appPort: port} = machine;
  return new AppServer({
    service,
    host,
    port,
    control,
    zone,
    record: (what, fields) => recorder.add(what, fields),
    ...options,
  });
}

export class Load {
  answers = []; // {id, kind, node, sentAt, answeredAt, status}
  #n = 0;
  #open = new Set();

  /** `kinds` lists {kind, method, host, path, headers}; every `everyMs` one request is sent. */
  constructor(machines, recorder, {kinds, everyMs = 25, deadlineMs = 1_500}) {
    Object.assign(this, {machines, recorder, kinds, everyMs, deadlineMs});
  }

  start() {
    this.timer = setInterval(() => {
      const answered = this.#send();
      this.#open.add(answered);
      answered.finally(() => this.#open.delete(answered));
    }, this.everyMs);
  }

  async stop() {
    clearInterval(this.timer);
    await Promise.all(this.#open);
  }

  /** Answers by status, of the requests that `select` accepts. */
  counts(select = () => true) {
    const counts = {};
    for (const answer of this.answers.filter(select))
      counts[answer.status] = (counts[answer.status] ?? 0) + 1;
    return counts;
  }

  async #send() {
    const n = this.#n++;
    const id = `req-${n}`;
    const machine = this.machines[n % this.machines.length];
    const {
      kind,
      method = 'GET',
      host,
      path,
      headers = {},
    } = this.kinds[Math.floor(n / this.machines.length) % this.kinds.length];
    const sentAt = Date.now();
    const answer = await send({
      host: machine.host,
      port: machine.outboundPort,
      method,
      path,
      timeoutMs: this.deadlineMs + 300,
      body: method === 'POST' ? `order ${n}` : '',
      headers: {
        host,
        'x-attempt-id': id,
        'x-deadline-ms': String(this.deadlineMs),
        ...headers,
      },
    });
    this.answers.push({
      id,
      kind,
      node: machine.name,
      sentAt,
      answeredAt: answer.answeredAt,
      status: answer.status,
    });
    this.recorder.add('answered', {
      id,
      kind,
      node: machine.name,
      sentMsAgo: answer.answeredAt - sentAt,
      status: answer.status,
    });
  }
}
