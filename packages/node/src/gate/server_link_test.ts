import {rethrow, VirtualClock, VirtualTimers} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import {beforeEach, describe, expect, it} from 'vitest';
import type {ExchangeRequest, ExchangeResult} from '../http/exchange';
import type {AttemptRequest} from './messages';
import {ServerConnections} from './server_connections';
import type {ServerExchange} from './server_connections';
import {OwnServerInterface} from './server_interface';
import type {AnswerClass, ServerNotice} from './server_interface';
import {ServerLink} from './server_link';

/** Connections that are established, and exchanges that are answered, on request. */
class ManualConnections extends ServerConnections {
  connected = false;
  answer: (ExchangeResult & {type: 'answer'}) | undefined;
  aborts = 0;

  override exchange(
    _req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
  ): ServerExchange {
    const isSent = this.connected;
    if (this.answer !== undefined) done(this.answer);
    return {
      isSent,
      abort: reason => {
        this.aborts++;
        done({type: 'broke', sent: isSent, err: new Error(reason)});
      },
    };
  }

  override fetchLoad(): void {}

  override async acceptsConnections(): Promise<boolean> {
    return true;
  }

  override async close(): Promise<void> {}
}

/** Answers come from another instance, which is leaving and limits its requests. */
class OtherInstanceInterface extends OwnServerInterface {
  override classifyAnswer(): AnswerClass {
    return 'otherInstance';
  }

  override noticeOf(): ServerNotice {
    return {requestsPerSecond: 1, leaving: true};
  }
}

let connections: ManualConnections;
let link: ServerLink;
let clock: VirtualClock;
let events: string[];
let serverInterface: OwnServerInterface;

function request(once: boolean): AttemptRequest {
  return {
    id: {gateway: 'vm-2', incarnation: 1, seq: 1},
    once,
    gateIncarnation: 1,
    callId: 'call',
    service: 'orders',
    method: 'POST',
    path: '/order',
    headers: {},
    body: Buffer.alloc(0),
    deadline: 1_000,
    route: '',
    origin: '',
    priority: 0,
    objective: 1_000,
    returning: false,
    suspect: false,
    mustEnd: false,
    reply: () => undefined,
  };
}

function openLink(): void {
  clock = new VirtualClock();
  connections = new ManualConnections();
  events = [];
  link = new ServerLink({
    announcement: {
      service: 'orders',
      port: 1,
      slots: 1,
      instance: 'i-1',
      state: 'up',
    },
    rules: {...DEFAULT_SERVICE_RULES, warmUpMs: 0},
    timers: new VirtualTimers(clock),
    connections,
    serverInterface,
    events: {
      onStart: () => undefined,
      onEnd: (_req, result) =>
        events.push(`${result.type} ${'kind' in result && result.kind}`),
      onCancelled: (_req, {state}) => events.push(`cancelled ${state}`),
      onLeaving: () => events.push('leaving'),
      onRateLimitChanged: () => events.push('rate limit'),
      onDied: () => events.push('died'),
      onDrained: () => undefined,
      onFault: rethrow,
    },
  });
}

beforeEach(() => {
  serverInterface = new OwnServerInterface();
  openLink();
});

describe('ServerLink', () => {
  // Work that must not be repeated is finished for its answer's sake; what the server has not begun needs no finishing.
  it.each([true, false])(
    'refuses a cancelled request that waits for a connection to the server (once: %s)',
    once => {
      link.attempt(request(once))();
      expect(events).toEqual(['cancelled connecting', 'refused fenced']);
      expect(link.inFlight).toBe(0);
    },
  );

  // The answer of work that must not be repeated would be lost to a resend.
  it('finishes a cancelled request that may have begun only if it must not be repeated', () => {
    connections.connected = true;
    link.attempt(request(true))();
    expect(events).toEqual(['cancelled sent']);
    expect(connections.aborts).toBe(0);
  });

  // The address of a server may belong to another one, whose limit and leaving say nothing of the first.
  it('ignores what another instance at the address of its server says of itself', () => {
    serverInterface = new OtherInstanceInterface();
    openLink();
    connections.answer = {
      type: 'answer',
      status: 421,
      headers: {},
      body: {type: 'whole', bytes: Buffer.alloc(0)},
    };
    link.attempt(request(true));
    expect(events).not.toContain('leaving');
    expect(events).not.toContain('rate limit');
  });

  // A request that no server has received may be said not to have run.
  it('refuses a request whose deadline passes while it waits for a connection', () => {
    link.attempt(request(true));
    clock.runUntil(2_000);
    expect(events).toEqual(['refused deadlineTooShort']);
  });
});
