import {describe, expect, it} from 'vitest';
import {CallPlan} from './call_plan';
import type {CallEvent, CallPlanOptions} from './call_plan';

function plan(options: Partial<CallPlanOptions> = {}): CallPlan {
  return new CallPlan({
    repeatable: false,
    retriesLeft: 3,
    takeRetry: () => true,
    takeHedge: () => true,
    ...options,
  });
}

/** Applies the events and returns the commands that follow each one. */
function handleEvents(
  subject: CallPlan,
  events: readonly CallEvent[],
): unknown[] {
  return events.map(event => subject.handle(event));
}

describe('CallPlan', () => {
  it('sends a refused call to another server', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'refused', attempt: 0, kind: 'queueFull'},
    ];
    expect(handleEvents(plan(), events)).toMatchInlineSnapshot(`
      [
        [
          {
            "attempt": 0,
            "exclude": [],
            "hedge": false,
            "suspect": false,
            "type": "send",
          },
        ],
        [],
        [
          {
            "attempt": 1,
            "exclude": [
              "a",
            ],
            "hedge": false,
            "suspect": false,
            "type": "send",
          },
        ],
      ]
    `);
  });

  it('fails at once when a load query shows that no server would admit the call', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'noServer', attempt: 0, kind: 'queueFull'},
    ];
    expect(handleEvents(plan(), events)[1]).toEqual([
      {type: 'fail', kind: 'queueFull', runState: 'notRun'},
    ]);
  });

  it('resolves a broken attempt with the gate before it sends the call to another server', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'broke', attempt: 0, kind: 'connectionLost'},
      {type: 'resolvedNotRun', attempt: 0, kind: 'fenced'},
    ];
    expect(handleEvents(plan(), events)).toMatchInlineSnapshot(`
      [
        [
          {
            "attempt": 0,
            "exclude": [],
            "hedge": false,
            "suspect": false,
            "type": "send",
          },
        ],
        [],
        [
          {
            "afterMs": 0,
            "attempt": 0,
            "type": "resolve",
          },
        ],
        [
          {
            "attempt": 0,
            "type": "cancel",
          },
          {
            "attempt": 1,
            "exclude": [
              "a",
            ],
            "hedge": false,
            "suspect": false,
            "type": "send",
          },
        ],
      ]
    `);
  });

  it('fails with run state unknown when the gate resolves to unknown', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'broke', attempt: 0, kind: 'connectionLost'},
      {type: 'resolvedUnknown', attempt: 0, kind: 'gateRestarted'},
    ];
    expect(handleEvents(plan(), events).at(-1)).toEqual([
      {type: 'fail', kind: 'gateRestarted', runState: 'unknown'},
    ]);
  });

  it('never hedges a call that must not be repeated', () => {
    const subject = plan();
    subject.handle({type: 'begin'});
    subject.handle({type: 'sent', attempt: 0, server: 'a'});
    expect(subject.handle({type: 'hedgeDue'})).toEqual([]);
  });

  it('cancels the slower of two hedged attempts', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'hedgeDue'},
      {type: 'sent', attempt: 1, server: 'b'},
      {type: 'answered', attempt: 1},
      {type: 'answered', attempt: 0},
    ];
    expect(handleEvents(plan({repeatable: true}), events))
      .toMatchInlineSnapshot(`
      [
        [
          {
            "attempt": 0,
            "exclude": [],
            "hedge": false,
            "suspect": false,
            "type": "send",
          },
        ],
        [],
        [
          {
            "attempt": 1,
            "exclude": [
              "a",
            ],
            "hedge": true,
            "suspect": false,
            "type": "send",
          },
        ],
        [],
        [
          {
            "attempt": 1,
            "type": "deliver",
          },
          {
            "attempt": 0,
            "type": "cancel",
          },
        ],
        [],
      ]
    `);
  });

  it('bounds the attempts of a call tree six deep', () => {
    const attemptsBelow = (retriesLeft: number, depth: number): number => {
      if (depth === 0) return 1;
      const subject = plan({repeatable: true, retriesLeft});
      let attempts = 0;
      let commands = subject.handle({type: 'begin'});
      while (commands[0]?.type === 'send') {
        const {attempt} = commands[0];
        attempts += attemptsBelow(subject.retriesForDownstream, depth - 1);
        subject.handle({type: 'sent', attempt, server: `s${attempt}`});
        commands = subject.handle({
          type: 'broke',
          attempt,
          kind: 'connectionLost',
        });
      }
      return attempts;
    };
    expect(attemptsBelow(3, 6)).toBeLessThanOrEqual(8);
  });

  it('holds back the error of one attempt while the other is open', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'hedgeDue'},
      {type: 'sent', attempt: 1, server: 'b'},
      {type: 'answered', attempt: 1, error: true},
    ];
    const succeeding = plan({repeatable: true});
    expect(handleEvents(succeeding, events).at(-1)).toEqual([]);
    expect(succeeding.handle({type: 'answered', attempt: 0})).toEqual([
      {type: 'deliver', attempt: 0},
    ]);
    const failing = plan({repeatable: true, retriesLeft: 0});
    handleEvents(failing, events);
    const lost: CallEvent = {type: 'broke', attempt: 0, kind: 'connectionLost'};
    expect(failing.handle(lost)).toEqual([{type: 'deliver', attempt: 1}]);
  });

  it('retries a repeatable call on another server after an error answer, and delivers the error if the retry fails', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'answered', attempt: 0, error: true},
      {type: 'sent', attempt: 1, server: 'b'},
    ];
    const succeeding = plan({repeatable: true});
    expect(handleEvents(succeeding, events)[2]).toMatchObject([
      {type: 'send', attempt: 1, exclude: ['a']},
    ]);
    expect(succeeding.handle({type: 'answered', attempt: 1})).toEqual([
      {type: 'deliver', attempt: 1},
    ]);
    const failing = plan({repeatable: true, retriesLeft: 1});
    handleEvents(failing, events);
    expect(failing.handle({type: 'answered', attempt: 1, error: true})).toEqual(
      [{type: 'deliver', attempt: 1}],
    );
    const once = plan({repeatable: false});
    expect(handleEvents(once, events.slice(0, 3)).at(-1)).toEqual([
      {type: 'deliver', attempt: 0},
    ]);
  });

  it('runs a call on at most maxRuns servers', () => {
    const bounded = plan({repeatable: true, maxRuns: 2});
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'refused', attempt: 0, kind: 'draining'},
      {type: 'sent', attempt: 1, server: 'b'},
      {type: 'hedgeDue'},
      {type: 'sent', attempt: 2, server: 'c'},
      {type: 'broke', attempt: 1, kind: 'connectionLost'},
      {type: 'broke', attempt: 2, kind: 'connectionLost'},
    ];
    expect(handleEvents(bounded, events).at(-1)).toEqual([
      {type: 'fail', kind: 'connectionLost', runState: 'unknown'},
    ]);
  });

  it('does not send a call to a third server after two have died', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'broke', attempt: 0, kind: 'serverDied'},
      {type: 'sent', attempt: 1, server: 'b'},
      {type: 'broke', attempt: 1, kind: 'serverDied'},
    ];
    const commands = handleEvents(plan({repeatable: true}), events);
    expect(commands.at(-1)).toEqual([
      {type: 'fail', kind: 'serverDied', runState: 'unknown'},
    ]);
  });

  it('stops retrying when the budget is spent', () => {
    const events: CallEvent[] = [
      {type: 'begin'},
      {type: 'sent', attempt: 0, server: 'a'},
      {type: 'broke', attempt: 0, kind: 'connectionLost'},
    ];
    const subject = plan({repeatable: true, takeRetry: () => false});
    expect(handleEvents(subject, events).at(-1)).toEqual([
      {type: 'fail', kind: 'connectionLost', runState: 'unknown'},
    ]);
  });

  it('reports notRun at the deadline only if nothing was sent', () => {
    const idle = plan();
    idle.handle({type: 'begin'});
    expect(idle.handle({type: 'deadline'})).toMatchObject([
      {runState: 'notRun'},
    ]);
    const sent = plan();
    sent.handle({type: 'begin'});
    sent.handle({type: 'sent', attempt: 0, server: 'a'});
    expect(sent.handle({type: 'deadline'}).at(-1)).toMatchObject({
      runState: 'unknown',
    });
  });

  describe('a request that was in flight at a server that died', () => {
    const died = (attempt: number): CallEvent => ({
      type: 'broke',
      attempt,
      kind: 'serverDied',
    });
    const types = (commands: unknown[]): unknown[] =>
      (commands as Array<Array<{type: string}>>).map(of => of.map(c => c.type));

    it('is sent to one server at a time', () => {
      const commands = handleEvents(plan({repeatable: true}), [
        {type: 'begin'},
        {type: 'sent', attempt: 0, server: 'a'},
        died(0),
        {type: 'sent', attempt: 1, server: 'b'},
        {type: 'silent', attempt: 1},
        {type: 'hedgeDue'},
        died(1),
      ]);
      expect(types(commands)).toEqual([
        ['send'],
        [],
        ['send'],
        [],
        [],
        [],
        ['fail'],
      ]);
    });

    it('is not retried when a server had died with it in flight before this call', () => {
      const commands = handleEvents(plan({repeatable: true, suspect: true}), [
        {type: 'begin'},
        {type: 'sent', attempt: 0, server: 'a'},
        {type: 'silent', attempt: 0},
        died(0),
      ]);
      expect(types(commands)).toEqual([['send'], [], [], ['fail']]);
    });
  });
});
