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

/** A gate that knows long work to take 200 ms and short work 20 ms, and is slow since 400 ms. */
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

describe('a server in a spell of slowness', () => {
  it('starts work that is in time at the present speed', () => {
    const gate = slowGate();
    expect(gate.admit(400, request(1, {route: SHORT})).type).toBe('start');
    expect(gate.admit(400, request(2, {objective: 1_400})).type).toBe('start');
  });

  it('holds work that would be late until the spell ends', () => {
    const gate = slowGate();
    expect(gate.admit(400, request(1))).toMatchObject({type: 'queued'});
    expect(gate.isHolding).toBe(true);
    expect(gate.advance(600)).toEqual([]);
    expect(gate.updateSlowdown(650, 1)).toEqual([{type: 'start', ref: 1}]);
  });

  it('sends elsewhere what cannot be in time even then', () => {
    const gate = slowGate();
    const tight = request(1, {objective: 800});
    expect(gate.admit(400, tight)).toEqual({type: 'refuse', kind: 'queueFull'});
  });

  it('starts short work while long work is held', () => {
    const gate = slowGate();
    gate.admit(400, request(1));
    expect(gate.admit(410, request(2, {route: SHORT})).type).toBe('start');
  });

  it('lets go what can no longer be in time', () => {
    const gate = slowGate();
    gate.admit(400, request(1));
    // The spell is expected to go on for 120 ms at least, and the work takes 200.
    expect(gate.advance(680)).toEqual([]);
    expect(gate.advance(681)).toEqual([
      {type: 'refuse', ref: 1, kind: 'queueFull'},
    ]);
  });

  it('runs what it has held, late, when the slowness goes on for long', () => {
    const gate = slowGate();
    gate.admit(400, request(1));
    const started = [600, 900, 1_200, 1_500].flatMap(now =>
      gate.updateSlowdown(now, 4),
    );
    expect(started).toEqual([{type: 'start', ref: 1}]);
  });

  it('is as fast as it will be while it is cold, and takes all that it can', () => {
    const gate = new Gate(0, {slots: 4, rules: RULES});
    for (const now of [0, 50, 100]) gate.updateSlowdown(now, 2);
    gate.admit(100, request(1));
    gate.finish(500, 1, 'ok');
    expect(gate.admit(500, request(2, {objective: 850})).type).toBe('start');
    gate.updateSlowdown(510, 8);
    expect(gate.admit(510, request(3, {objective: 1_600})).type).toBe('queued');
    expect(gate.updateSlowdown(700, 2)).toEqual([{type: 'start', ref: 3}]);
  });

  it('teaches nothing of the usual time of work', () => {
    const gate = slowGate();
    gate.admit(400, request(1, {objective: 1_400}));
    gate.finish(1_200, 1, 'ok');
    expect(gate.report(1_200).serviceUs).toBeLessThanOrEqual(200_000);
  });
});

describe('a queue', () => {
  it('expects late work to be overtaken', () => {
    const gate = new Gate(0, {slots: 1, rules: RULES});
    gate.admit(0, request(1));
    gate.finish(200, 1, 'ok');
    gate.admit(200, request(2));
    gate.admit(200, request(3));
    const late = {objective: 250, returning: true};
    // Its turn comes after three more of 200 ms each, and the slot is free at 400.
    const soon = gate.admit(210, request(4, {...late, deadline: 1_230}));
    expect(soon).toEqual({type: 'refuse', kind: 'deadlineTooShort'});
    const patient = gate.admit(210, request(5, {...late, deadline: 1_260}));
    expect(patient.type).toBe('queued');
  });

  it('counts with the ends of what runs, not with the average', () => {
    const gate = new Gate(0, {slots: 1, rules: RULES});
    gate.admit(0, request(1));
    gate.finish(200, 1, 'ok');
    gate.admit(200, request(2));
    // The slot is free at 400, so that the next one ends at 640 with its margin.
    const admit = (ref: number, objective: number): string =>
      gate.admit(390, request(ref, {objective})).type;
    expect(admit(3, 639)).toBe('refuse');
    expect(admit(4, 641)).toBe('queued');
  });
});
