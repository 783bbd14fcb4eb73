// Stand-in for the clients of one machine, after PROTOCOL.md. Each client keeps one
// connection and sends one request after the other on it.
import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

let lastId = 0;

/** Sends one request; resolves to its outcome, which is `closed` if its connection ended without a complete answer. */
export function send(recorder, options) {
  const {outbound, agent, method = 'GET', path, body = '', deadlineMs} = options;
  const attempt = (++lastId).toString(16).padStart(8, '0');
  const [host, port] = outbound.split(':');
  const startedAt = recorder.now();
  const outcome = {attempt, path, startedAt, kept: false, wholeSent: false};
  recorder.write('sent', {attempt, to: outbound, method, path});
  return new Promise(done => {
    const finish = fields => {
      if (outcome.endedAt !== undefined) return;
      Object.assign(outcome, fields, {endedAt: recorder.now()});
      const {type, status = '-', kept} = outcome;
      recorder.write('answered', {attempt, type, status, kept});
      done(outcome);
    };
    const req = request(
      {
        host,
        port: Number(port),
        agent: agent ?? false,
        method,
        path,
        headers: {
          host: options.virtualHost,
          'x-attempt-id': attempt,
          'x-deadline-ms': String(deadlineMs),
          ...(body === '' ? {} : {'content-length': Buffer.byteLength(body)}),
        },
      },
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('end', () => {
          const {statusCode: status, headers} = res;
          const text = Buffer.concat(chunks).toString();
          finish(
            res.complete
              ? {type: 'answer', status, headers, text}
              : {type: 'closed'},
          );
        });
        res.on('error', () => finish({type: 'closed'}));
      },
    );
    req.on('finish', () => (outcome.wholeSent = true));
    req.on('error', err => {
      const type = err.code === 'ECONNREFUSED' ? 'refused' : 'closed';
      finish({type, error: err.code ?? err.message});
    });
    req.on('socket', () => (outcome.kept = req.reusedSocket));
    setTimeout(() => {
      if (outcome.endedAt !== undefined) return;
      finish({type: 'gaveUp'});
      req.destroy();
    }, deadlineMs).unref();
    req.end(body);
  });
}

/** A client that sends requests until it is stopped. */
export class Client {
  /** options: outbound, virtualHost, makeRequest (returns method, path, body, deadlineMs), pauseMs. */
  constructor(recorder, options) {
    this.recorder = recorder;
    this.options = options;
    this.agent = new Agent({keepAlive: true, maxSockets: 1});
    this.outcomes = [];
    this.stopped = false;
  }

  start() {
    this.done = this.loop();
  }

  async stop() {
    this.stopped = true;
    await this.done;
    this.agent.destroy();
  }

  async loop() {
    const {outbound, virtualHost, makeRequest, pauseMs} = this.options;
    while (!this.stopped) {
      const outcome = await send(this.recorder, {
        outbound,
        virtualHost,
        agent: this.agent,
        ...makeRequest(),
      });
      this.outcomes.push({...outcome, outbound});
      const wait = outcome.type === 'refused' ? 500 : pauseMs * Math.random() * 2;
      await sleep(wait);
    }
  }
}
