import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import {describe, expect, it} from 'vitest';
import {Gate} from './gate';
import type {GateRequest} from './gate';

const RULES = {...DEFAULT_SERVICE_RULES, warmUpMs: 0, queuePerSlot: 2};
const LONG = 'long';
const SHORT = 'short';

function request(ref: number, more: Partial<GateRequest> = {}): GateRequest {
  return {
    ref,
    deadline: 2_000,
    objective: 1_000,
    suspect: false,
    route: LONG,
    priority: 1,
    returning: false,
    ...more,
  };
}

/** A gate with recorded service times of 200 ms (long) and 20 ms (short) whose server is slow from 400 ms on. */
function slowGate(slots = 4): Gate {
  const gate = new Gate(0, {slots, rules: RULES});
  gate.admit(0, request(-1));
  gate.finish(200, -1, 'ok');
  gate.admit(200, request(-2, {route: SHORT}));
  gate.finish(220, -2, 'ok');
  gate.updateSlowdown(390, 1);
  gate.updateSlowdown(400, 4);
  return gate;
}

describe('a server in a slow period', () => {
  it('starts requests that meet their objective at the current speed', () => {
    const gate = slowGate();
    expect(gate.admit(400, request(1, {route: SHORT})).type).toBe('start');
    expect(gate.admit(400, request(2, {objective: 1_400})).type).toBe('start');
  });

  it('queues requests that would miss their objective until the slow period ends', () => {
    const gate = slowGate();
    expect(gate.admit(400, request(1))).toMatchObject({type: 'queued'});
    expect(gate.isHolding).toBe(true);
    expect(gate.advance(600)).toEqual([]);
    expect(gate.updateSlowdown(650, 1)).toEqual([{type: 'start', ref: 1}]);
  });

  it('refuses a request that would miss its objective even after the slow period', () => {
    const gate = slowGate();
    const tight = request(1, {objective: 800});
    expect(gate.admit(400, tight)).toEqual({type: 'refuse', kind: 'queueFull'});
  });

  it('starts a short request while a long one is queued', () => {
    const gate = slowGate();
    gate.admit(400, request(1));
    expect(gate.admit(410, request(2, {route: SHORT})).type).toBe('start');
  });

  it('refuses a queued request that can no longer meet its objective', () => {
    const gate = slowGate();
    gate.admit(400, request(1));
    // The slow period is expected to last at least 120 ms more, and the request takes 200 ms.
    expect(gate.advance(680)).toEqual([]);
    expect(gate.advance(681)).toEqual([
      {type: 'refuse', ref: 1, kind: 'queueFull'},
    ]);
  });

  it('starts a queued request late when the slowness persists', () => {
    const gate = slowGate();
    gate.admit(400, request(1));
    const started = [600, 900, 1_200, 1_500].flatMap(now =>
      gate.updateSlowdown(now, 4),
    );
    expect(started).toEqual([{type: 'start', ref: 1}]);
  });

  it('treats the constant slowness of a cold server as its normal speed', () => {
    const gate = new Gate(0, {slots: 4, rules: RULES});
    for (const now of [0, 50, 100]) gate.updateSlowdown(now, 2);
    gate.admit(100, request(1));
    gate.finish(500, 1, 'ok');
    expect(gate.admit(500, request(2, {objective: 850})).type).toBe('start');
    gate.updateSlowdown(510, 8);
    expect(gate.admit(510, request(3, {objective: 1_600})).type).toBe('queued');
    expect(gate.updateSlowdown(700, 2)).toEqual([{type: 'start', ref: 3}]);
  });

  it('does not raise the recorded service time', () => {
    const gate = slowGate();
    gate.admit(400, request(1, {objective: 1_400}));
    gate.finish(1_200, 1, 'ok');
    expect(gate.report(1_200).serviceUs).toBeLessThanOrEqual(200_000);
  });
});

describe('a queue', () => {
  it('expects requests that miss their objective to be overtaken', () => {
    const gate = new Gate(0, {slots: 1, rules: RULES});
    gate.admit(0, request(1));
    gate.finish(200, 1, 'ok');
    gate.admit(200, request(2));
    gate.admit(200, request(3));
    const late = {objective: 250, returning: true};
    // It starts after three more requests of 200 ms each, and the slot is free at 400 ms.
    const soon = gate.admit(210, request(4, {...late, deadline: 1_230}));
    expect(soon).toEqual({type: 'refuse', kind: 'deadlineTooShort'});
    const patient = gate.admit(210, request(5, {...late, deadline: 1_260}));
    expect(patient.type).toBe('queued');
  });

  it('estimates from the expected ends of running requests, not from the average', () => {
    const gate = new Gate(0, {slots: 1, rules: RULES});
    gate.admit(0, request(1));
    gate.finish(200, 1, 'ok');
    gate.admit(200, request(2));
    // The slot is free at 400 ms, so the next request ends at 640 ms including its margin.
    const admit = (ref: number, objective: number): string =>
      gate.admit(390, request(ref, {objective})).type;
    expect(admit(3, 639)).toBe('refuse');
    expect(admit(4, 641)).toBe('queued');
  });
});
