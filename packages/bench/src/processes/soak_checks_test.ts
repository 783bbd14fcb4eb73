import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {parseSoakBounds} from './soak_bounds';
import {judgeSoak} from './soak_checks';
import {SoakRecord} from './soak_record';
import type {
  Disturbance,
  RequestEnd,
  RequestRecord,
  RunRecord,
} from './soak_record';

const bounds = parseSoakBounds(readFileSync('deploy/soak.toml', 'utf8'));
const AT = 20_000;
const OK = {type: 'answered', status: 200, body: 'i-1 a'} as const;
const CUT: RequestEnd = {type: 'closed', error: 'ECONNRESET'};

function newRecord(): SoakRecord {
  const record = new SoakRecord();
  // Served after the disturbances.
  record.requests.push(requestOf({attempt: 'calm', sentAt: 100_000}));
  record.runs.push(runOf({attempt: 'calm', startedAt: 100_001}));
  return record;
}

function requestOf(fields: Partial<RequestRecord>): RequestRecord {
  const {sentAt = AT, attempt = 'a'} = fields;
  return {
    attempt,
    vm: 'vm-1',
    route: 'order',
    sentAt,
    deadlineMs: 2_500,
    keptConnection: true,
    wholeSent: true,
    endedAt: sentAt + 100,
    end: {...OK, body: `i-1 ${attempt}`},
    ...fields,
  };
}

function runOf(fields: Partial<RunRecord>): RunRecord {
  const {startedAt = AT + 1} = fields;
  return {
    attempt: 'a',
    instance: 'i-1',
    service: 'orders',
    vm: 'vm-2',
    startedAt,
    endedAt: startedAt + 50,
    isFaulty: false,
    ...fields,
  };
}

function disturbanceOf(fields: Partial<Disturbance>): Disturbance {
  return {vm: 'vm-1', kind: 'terminate', from: AT, to: AT + 6_000, ...fields};
}

function judge(fill: (record: SoakRecord) => void): string[] {
  const record = newRecord();
  fill(record);
  const options = {bounds, routeTimeoutMs: 2_000, calmAt: 50_000};
  return judgeSoak(record, options).map(({check}) => check);
}

/** Requests that were run and whose kept connections closed without an answer. */
function addCut(record: SoakRecord, count: number): void {
  for (let i = 0; i < count; i++) {
    const attempt = `cut-${i}`;
    record.requests.push(requestOf({attempt, end: CUT}));
    record.runs.push(runOf({attempt}));
  }
}

describe('judgeSoak', () => {
  const cases: Record<string, (record: SoakRecord) => void> = {
    'nothing happened': () => undefined,
    'a process ended by itself': r =>
      r.ownEnds.push({vm: 'vm-1', at: AT, detail: 'code 1'}),
    'a process used too much memory': r =>
      r.peakMemory.set('vm-1', 257 * 1_048_576),
    'four requests were cut in calm': r => addCut(r, 4),
    'three requests were cut in calm': r => addCut(r, 3),
    'four requests were cut at a VM that had been killed': r => {
      addCut(r, 4);
      r.disturbances.push(disturbanceOf({kind: 'kill', from: AT - 2_000}));
    },
    'one request was cut after SIGTERM': r => {
      addCut(r, 1);
      r.disturbances.push(disturbanceOf({from: AT - 1_000}));
    },
    'one request was cut after SIGTERM beside a fault': r => {
      addCut(r, 1);
      r.disturbances.push(
        disturbanceOf({from: AT - 1_000}),
        disturbanceOf({vm: 'vm-3', kind: 'freeze', from: AT - 1_000}),
      );
    },
    'one request was cut after SIGTERM whose server was at work at the end of the grace period':
      r => {
        r.requests.push(
          requestOf({
            sentAt: AT + 2_900,
            endedAt: AT + 5_600,
            end: CUT,
            deadlineMs: 9_000,
          }),
        );
        r.runs.push(runOf({startedAt: AT + 2_901, endedAt: AT + 5_600}));
        r.disturbances.push(disturbanceOf({}));
      },
    'one request was cut by a faulty server after SIGTERM': r => {
      r.requests.push(requestOf({end: CUT}));
      r.runs.push(runOf({isFaulty: true}));
      r.disturbances.push(disturbanceOf({from: AT - 1_000}));
    },
    'one request was cut after a reload': r => {
      addCut(r, 1);
      r.reloads.push({vm: 'vm-1', at: AT - 100});
    },
    'an order ran twice': r => {
      r.requests.push(requestOf({}));
      r.runs.push(runOf({}), runOf({instance: 'i-2'}));
    },
    'a refused order ran': r => {
      r.requests.push(
        requestOf({end: {type: 'answered', status: 503, body: ''}}),
      );
      r.runs.push(runOf({}));
    },
    'an answer belongs to another request': r => {
      r.requests.push(requestOf({end: {...OK, body: 'i-1 b'}}));
      r.runs.push(runOf({}));
    },
    'a leaving server got a request': r => {
      r.requests.push(requestOf({}));
      r.runs.push(runOf({}));
      r.leavings.push({vm: 'vm-2', instance: 'i-1', ackedAt: AT - 2_100});
    },
    'a request was run by the service of an older desired state': r => {
      r.requests.push(requestOf({route: 'moving'}));
      r.runs.push(runOf({}));
      r.changes.push(
        {ackedAt: 0, service: 'orders'},
        {ackedAt: AT - 2_100, service: 'booking'},
      );
    },
    'a request was run by the service of an older desired state within the bound':
      r => {
        r.requests.push(requestOf({route: 'moving'}));
        r.runs.push(runOf({}));
        r.changes.push(
          {ackedAt: 0, service: 'orders'},
          {ackedAt: AT - 1_900, service: 'booking'},
        );
      },
    'requests of callers that had left reached servers': r => {
      for (let i = 0; i < 6; i++) {
        const attempt = `gone-${i}`;
        r.requests.push(requestOf({attempt, end: {type: 'gaveUp'}}));
        r.runs.push(runOf({attempt, startedAt: AT + 700}));
      }
    },
    'nothing is served after the disturbances': r => {
      for (let i = 0; i < 4; i++)
        r.requests.push(
          requestOf({
            attempt: `late-${i}`,
            sentAt: 90_000,
            end: {type: 'refused'},
          }),
        );
    },
  };

  it('finds what callers and servers must not see, and nothing that is excused', () => {
    const found = Object.entries(cases).map(([name, fill]) => [
      name,
      judge(fill).join(', ') || 'ok',
    ]);
    expect(Object.fromEntries(found)).toMatchInlineSnapshot(`
      {
        "a leaving server got a request": "drain",
        "a process ended by itself": "processEnd",
        "a process used too much memory": "processEnd",
        "a refused order ran": "falseRefusal",
        "a request was run by the service of an older desired state": "config",
        "a request was run by the service of an older desired state within the bound": "ok",
        "an answer belongs to another request": "wrongAnswer",
        "an order ran twice": "ranTwice",
        "four requests were cut at a VM that had been killed": "ok",
        "four requests were cut in calm": "lost",
        "nothing happened": "ok",
        "nothing is served after the disturbances": "recovery",
        "one request was cut after SIGTERM": "lost",
        "one request was cut after SIGTERM beside a fault": "ok",
        "one request was cut after SIGTERM whose server was at work at the end of the grace period": "ok",
        "one request was cut after a reload": "lost",
        "one request was cut by a faulty server after SIGTERM": "ok",
        "requests of callers that had left reached servers": "callerGone",
        "three requests were cut in calm": "ok",
      }
    `);
  });
});
