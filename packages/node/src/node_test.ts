import {connect} from 'node:net';
import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {TestFleet} from './testing/test_fleet';
import type {TestAnswer} from './testing/test_fleet';

let fleet: TestFleet;

async function start(
  options: Partial<ConstructorParameters<typeof TestFleet>[0]> = {},
) {
  fleet = new TestFleet({nodes: 3, ...options});
  await fleet.start();
}

afterEach(async () => {
  const broken = fleet.brokenInvariants;
  await fleet.close();
  expect(broken).toBe(0);
});

/** Sends raw bytes; resolves to the first line of the response, or to 'closed'. */
function sendRaw(url: string, text: string): Promise<string> {
  const {port, hostname} = new URL(url);
  return new Promise(done => {
    const socket = connect(Number(port), hostname, () => socket.write(text));
    socket.on('data', data => {
      done(data.toString().split('\r\n')[0] ?? '');
      socket.destroy();
    });
    socket.on('close', () => done('closed'));
    socket.on('error', () => done('closed'));
  });
}

const LONG_SILENCE_TICKET = `[ticket]
number = 1

[service orders]
warm_up_ms = 0
silence_ms = 2000
`;

/** Less than the time after which a submission is answered as undetermined. */
const LONG_STORE_TIMEOUT_MS = 5_000;

const formatAnswer = ({status, kind, runState, resendSafe}: TestAnswer) =>
  `${status} ${kind} ${runState} ${resendSafe}`;

describe('a fleet on real sockets', () => {
  describe('without faults', () => {
    // No peer and no store stops responding here; the long limits keep a busy machine from appearing so.
    beforeEach(() =>
      start({
        ticket: LONG_SILENCE_TICKET,
        storeTimeoutMs: LONG_STORE_TIMEOUT_MS,
      }),
    );

    it('answers through each node and explains the choice of server', async () => {
      for (const memberIndex of [0, 1, 2]) {
        const answer = await fleet.call(memberIndex, 'GET', '/x', {
          'x-request-id': `r${memberIndex}`,
        });
        expect(answer.text).toMatch(new RegExp(`^r${memberIndex}\\|`));
        const {operatorUrl} = fleet.member(memberIndex);
        const res = await request(`${operatorUrl}/explain/${answer.callId}`);
        expect(await res.body.json()).toMatchObject({
          decisions: [{what: 'route', reason: 'shortest expected time'}],
        });
      }
    });

    it('refuses invalid input with its error kind', async () => {
      const {callerUrl, dataUrl, operatorUrl} = fleet.member(0);
      const answers = {
        unknownService: await fleet.call(0, 'GET', '/', {
          'gh-service': 'nothing',
        }),
        badService: await fleet.call(0, 'GET', '/', {'gh-service': 'a b'}),
        badDeadline: await fleet.call(0, 'GET', '/', {
          'gh-deadline-ms': '99999999',
        }),
        badDepth: await fleet.call(0, 'GET', '/', {'gh-depth': '-1'}),
        tooDeep: await fleet.call(0, 'GET', '/', {'gh-depth': '8'}),
        tooLarge: await fleet.call(0, 'POST', '/', {}, 'x'.repeat(1_048_577)),
      };
      const table = Object.entries(answers).map(
        ([name, a]) => `${name}: ${formatAnswer(a)}`,
      );
      expect(table).toMatchInlineSnapshot(`
        [
          "unknownService: 404 unknownService notRun false",
          "badService: 400 badHeader notRun false",
          "badDeadline: 400 badDeadline notRun false",
          "badDepth: 400 badHeader notRun false",
          "tooDeep: 508 tooDeep notRun false",
          "tooLarge: 413 bodyTooLarge notRun false",
        ]
      `);
      const smuggled =
        'POST / HTTP/1.1\r\nhost: orders\r\ncontent-length: 4\r\n' +
        'transfer-encoding: chunked\r\n\r\n0\r\n\r\n';
      expect(await sendRaw(callerUrl, smuggled)).toMatch('400');
      expect(await sendRaw(callerUrl, 'nonsense\r\n\r\n')).toMatch('400');
      expect(
        await sendRaw(dataUrl, 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'),
      ).toMatch('421');
      expect(
        await sendRaw(operatorUrl, 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'),
      ).toMatch('421');
      expect((await fleet.call(0, 'GET', '/x')).status).toBe(200);
    });

    it('streams a large answer completely and aborts one that the server aborts', async () => {
      const bytes = 3_000_000;
      const answer = await fleet.call(0, 'GET', `/big?bytes=${bytes}`);
      expect(answer.text.length).toBe(bytes);
      const broken = await fleet
        .call(1, 'POST', `/broken?bytes=${bytes}`)
        .catch(() => undefined);
      expect(broken?.text.length).not.toBe(bytes);
      expect(broken?.runState).not.toBe('notRun');
    });

    it('runs a keyed call once, whichever nodes it is sent to', async () => {
      const headers = {'idempotency-key': 'k1', 'x-request-id': 'order-1'};
      const sent = [0, 1, 2, 0].map(memberIndex =>
        fleet.call(memberIndex, 'POST', '/order', headers, 'a'),
      );
      const answers = await Promise.all(sent);
      expect(answers.map(a => a.status)).toEqual([200, 200, 200, 200]);
      expect(new Set(answers.map(a => a.text)).size).toBe(1);
      expect(fleet.countRuns('order-1')).toBe(1);
      const reused = await fleet.call(
        1,
        'POST',
        '/order',
        headers,
        'another body',
      );
      expect(formatAnswer(reused)).toBe('422 keyReused notRun false');
    });

    it('runs calls nested six deep and refuses them beyond eight', async () => {
      const headers = {'x-request-id': 'deep', 'gh-deadline-ms': '30000'};
      const six = await fleet.call(0, 'GET', '/chain?depth=6', headers);
      expect(six.text).toMatch(/^deep\|/);
      expect(fleet.countRuns('deep')).toBeGreaterThanOrEqual(6);
      const nine = await fleet.call(1, 'GET', '/chain?depth=9', headers);
      expect(nine.status).toBe(508);
    });

    it('refuses stale tickets and recognizes one that is sent again', async () => {
      const ticket =
        '[ticket]\nnumber = 4\n[service orders]\ndeadline_ms = 900\n';
      const stale =
        '[ticket]\nnumber = 3\n[service orders]\ndeadline_ms = 800\n';
      const answers = [];
      for (const text of [ticket, ticket, stale, 'nonsense']) {
        const answer = await fleet.submit(text, answers.length % 3);
        answers.push(`${answer.status} ${answer.text}`);
      }
      expect(answers).toMatchInlineSnapshot(`
        [
          "200 {"number":4,"type":"accepted","revision":2}",
          "200 {"number":4,"type":"already","revision":2}",
          "409 {"number":3,"type":"refused","kind":"staleTicket","service":"orders","inForce":4}",
          "422 {"kind":"badTicket","detail":"badTicket: [] nonsense = true: keys stand within a section"}",
        ]
      `);
      await fleet.waitUntil(() =>
        fleet.members.every(m => m.node.status().configRevision === 2),
      );
    });
  });

  describe('with faults', () => {
    it('resolves calls on connections that stop responding, and runs each once', async () => {
      await start({meanMs: 150});
      const calls = Array.from({length: 12}, (_, i) =>
        fleet.call(
          0,
          'POST',
          '/order',
          {'x-request-id': `o${i}`, 'gh-deadline-ms': '9000'},
          'a',
        ),
      );
      await fleet.waitUntil(() =>
        fleet.members.some(m => m.server.inFlight > 0),
      );
      fleet.members.forEach(member => member.dataRelay.stall());
      const answers = await Promise.all(calls);
      expect(answers.map(a => `${a.status} ${a.runState}`)).toEqual(
        answers.map(() => '200 ran'),
      );
      answers.forEach((a, i) =>
        expect(a.text).toMatch(new RegExp(`^o${i}\\|`)),
      );
      answers.forEach((_, i) => expect(fleet.countRuns(`o${i}`)).toBe(1));
    });

    it('completes running requests when a node leaves', async () => {
      await start({meanMs: 400});
      const calls = Array.from({length: 24}, (_, i) =>
        fleet.call(
          1,
          'POST',
          '/order',
          {'x-request-id': `o${i}`, 'gh-deadline-ms': '9000'},
          'a',
        ),
      );
      await fleet.waitUntil(() => fleet.member(0).server.inFlight > 0);
      const shutDown = fleet.member(0).node.shutDown();
      const answers = await Promise.all(calls);
      expect(answers.map(a => a.status)).toEqual(answers.map(() => 200));
      expect(await shutDown).toBe(0);
      await fleet.waitUntil(() =>
        fleet.members.slice(1).every(({node}) => {
          const gone = node.status().members.find(m => m.nodeId === 'vm-1');
          return gone === undefined || gone.status === 'left';
        }),
      );
    });

    it('reports running requests as unknown when a node stops without leaving', async () => {
      await start({meanMs: 400});
      const headers = {'gh-deadline-ms': '1500'};
      const calls = Array.from({length: 24}, () =>
        fleet.call(1, 'POST', '/order', headers, 'a'),
      );
      await fleet.waitUntil(() => fleet.member(0).server.inFlight > 0);
      await fleet.member(0).node.close();
      const answers = await Promise.all(calls);
      expect(answers.map(a => a.runState)).toContain('unknown');
    });

    it('quarantines a request after it has crashed two servers', async () => {
      await start();
      const outcomes: string[] = [];
      for (let i = 0; i < 6; i++) {
        const answer = await fleet.call(i % 3, 'GET', '/crash');
        outcomes.push(`${answer.status} ${answer.kind}`);
        const crashes = fleet.members.reduce((sum, m) => sum + m.crashes, 0);
        expect(crashes).toBeLessThanOrEqual(2);
      }
      expect(outcomes.at(-1)).toBe('422 quarantined');
      for (const member of fleet.members) {
        if (member.crashes > 0) await fleet.restartServer(member);
      }
      const other = await fleet.call(0, 'GET', '/x');
      expect(other.status).toBe(200);
    });

    it('runs calls without keys while the store is down, and refuses keyed calls as not run', async () => {
      await start();
      fleet.platform.mode = 'down';
      const plain = await fleet.call(
        0,
        'POST',
        '/order',
        {'x-request-id': 'p'},
        'a',
      );
      expect(plain.status).toBe(200);
      const headers = {
        'idempotency-key': 'k',
        'x-request-id': 'q',
        'gh-deadline-ms': '800',
      };
      const keyed = await fleet.call(1, 'POST', '/order', headers, 'a');
      expect(formatAnswer(keyed)).toBe('503 keyStoreUnavailable notRun true');
      expect(fleet.countRuns('q')).toBe(0);
      fleet.platform.mode = 'up';
      await fleet.waitUntil(async () => {
        const again = await fleet.call(2, 'POST', '/order', headers, 'a');
        return again.status === 200;
      });
      expect(fleet.countRuns('q')).toBe(1);
    });

    it('applies a ticket although the watch of the store stops responding', async () => {
      await start();
      fleet.platformRelay?.stall();
      await fleet.waitUntil(async () => {
        const text =
          '[ticket]\nnumber = 8\n[service orders]\ndeadline_ms = 700\n';
        const answer = await fleet.submit(text);
        return answer.status === 200;
      });
      await fleet.waitUntil(() =>
        fleet.members.every(m => m.node.status().configRevision === 2),
      );
    });
  });
});
