import {createSocket} from 'node:dgram';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {exchange, ProcessVms} from './testing/process_vms';

const RUNS = 60;
const SEED = 35;
const RAW_TIMEOUT_MS = 150;
/** Time for which a node reads what was written to the store. */
const STORE_READ_MS = 1_500;

/** Parts of paths: operations between nodes, escapes that are not UTF-8, and others. */
const pathPart = fc.oneof(
  fc.constantFrom(
    '.gh',
    'key',
    'load',
    'resolve',
    'acknowledge',
    'config',
    'members',
    'orders',
    'v1',
    'instances',
    '..',
    '%F1',
    '%',
    '%zz',
    '%00',
    '%E0%A4%A',
    '',
  ),
  fc.string({unit: fc.constantFrom(...'abc0-._~!$&*+,;=:@%'), maxLength: 8}),
);
const path = fc
  .array(pathPart, {minLength: 1, maxLength: 5})
  .map(parts => `/${parts.join('/')}`);
const operationPath = path.map(text => `/.gh${text}`);
const headerName = fc.constantFrom(
  'gh-attempt',
  'gh-service',
  'gh-resolution',
  'gh-gate-incarnation',
  'gh-once',
  'gh-operation',
  'gh-whole-bytes',
  'gh-deadline-ms',
  'idempotency-key',
  'x-expected-instance',
  'x-not-executed',
  'x-response-signature',
  'store-era',
);
const headerValue = fc.oneof(
  fc.constantFrom('1', '-1', '1e400', 'notRun', 'vm-0:1:1', 'NaN'),
  fc.string({unit: fc.constantFrom(...'aé%;,="\t 0'), maxLength: 12}),
);
const headers = fc.dictionary(headerName, headerValue, {maxKeys: 4});
const bytes = fc
  .uint8Array({minLength: 1, maxLength: 64})
  .map(array => Buffer.from(array));
const json = fc.oneof(
  fc.json({maxDepth: 4}),
  fc.constantFrom(
    '{"n":1e400}',
    '[]',
    'null',
    `${'['.repeat(20_000)}${']'.repeat(20_000)}`,
    '{"__proto__":{"a":1}}',
  ),
);

let processes: ProcessVms;

/** Writes bytes on a new connection and waits until it is closed, or for a short time. */
async function sendRaw(
  host: string,
  port: number,
  data: Buffer,
): Promise<void> {
  await new Promise<void>(done => {
    const socket = connect(port, host, () => socket.write(data));
    socket.setTimeout(RAW_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', () => undefined);
    socket.on('error', () => undefined);
    socket.on('close', () => done());
  });
}

async function sendReport(id: string, body: string): Promise<void> {
  const {host, firstPort} = processes.vm(1).options;
  await exchange({
    host,
    port: firstPort + 3,
    path: `/v1/instances/${id}`,
    method: 'PUT',
    body,
  });
}

async function expectServing(): Promise<void> {
  expect(processes.exits).toEqual([]);
  const answers = await Promise.all([processes.call(0), processes.call(1)]);
  expect(answers.map(({status}) => status)).toEqual([200, 200]);
}

const check = <T>(
  arbitrary: fc.Arbitrary<T>,
  run: (value: T) => Promise<void>,
): Promise<void> =>
  fc.assert(fc.asyncProperty(arbitrary, run), {seed: SEED, numRuns: RUNS});

describe('a process that gets odd input', () => {
  beforeEach(async () => {
    processes = new ProcessVms();
    await processes.open(2);
    // The requests of the first VM run at the server of the second one.
    await processes.start([1]);
  });

  afterEach(() => processes.close());

  // Guards against a client's request that is taken for an operation of another node, or ends a process.
  it.each([
    ['GET', ''],
    ['POST', '/order'],
  ] as const)(
    'serves a %s with any path and headers of operations between nodes',
    async (method, prefix) => {
      await check(fc.tuple(operationPath, headers), async ([text, extra]) => {
        const url = prefix + text;
        const answer = await processes.call(0, {
          path: url,
          method,
          headers: extra,
        });
        const run = processes.runs.at(-1);
        expect([answer.status, run?.req.url]).toEqual([200, url]);
        const sent = Object.keys(run?.req.headers ?? {});
        expect(sent.filter(name => name === 'gh-attempt')).toEqual([]);
      });
      await expectServing();
    },
  );

  it('goes on after bytes that are no request on any of its ports', async () => {
    const {host, firstPort} = processes.vm(1).options;
    const ports = [0, 1, 2, 3].map(offset => firstPort + offset);
    await check(bytes, async data => {
      await Promise.all(ports.map(port => sendRaw(host, port, data)));
      expect(processes.exits).toEqual([]);
    });
    await expectServing();
  });

  it('goes on after requests of other programs to the port for other nodes', async () => {
    const {host, firstPort} = processes.vm(1).options;
    await check(fc.tuple(path, headers), async ([text, extra]) => {
      await exchange({
        host,
        port: firstPort + 1,
        path: text,
        headers: extra,
        body: '',
      });
      expect(processes.exits).toEqual([]);
    });
    await expectServing();
  });

  it('goes on after reports with odd ids and bodies', async () => {
    const report = fc.oneof(json, bytes.map(String));
    await check(fc.tuple(pathPart, report), async ([id, body]) => {
      await sendReport(id, body);
      expect(processes.exits).toEqual([]);
    });
    await expectServing();
  });

  it('goes on after odd datagrams', async () => {
    const {host, firstPort} = processes.vm(1).options;
    const socket = createSocket('udp4');
    const datagram = fc.oneof(
      bytes,
      json.map(text => Buffer.from(text.slice(0, 9_000))),
    );
    await check(datagram, async data => {
      await new Promise(done => socket.send(data, firstPort + 5, host, done));
      expect(processes.exits).toEqual([]);
    });
    socket.close();
    await expectServing();
  });

  it('goes on after odd entries in the store', async () => {
    const {platform} = processes.store;
    let entries = 0;
    await check(json, async text => {
      if (text.length > 10_000) return;
      platform.put(`nodes/odd-${entries++}`, text, 0);
      const version = platform.get('config/main')?.version ?? 0;
      platform.put('config/main', text, version);
    });
    await sleep(STORE_READ_MS);
    await expectServing();
    // A node that starts reads the entries, and the configuration from its peer.
    processes.vm(0).node.signal('SIGKILL');
    await processes.until(() => processes.exits.length === 1);
    processes.exits.pop();
    processes.vm(0).node.start();
    await processes.until(() => processes.vm(0).isReady());
    await processes.until(async () => (await processes.call(0)).status === 200);
    await expectServing();
  });
});
