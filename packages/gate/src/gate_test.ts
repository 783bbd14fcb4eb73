import {DEFAULT_SERVICE_RULES, InvariantError} from '@goldcresthill/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Gate} from './gate';

const RULES = {...DEFAULT_SERVICE_RULES, warmUpMs: 0, queuePerSlot: 2};
const request = (ref: number, suspect = false) => ({
  ref,
  deadline: 1_000,
  suspect,
  route: '',
  priority: 0,
  objective: 1_000,
  returning: false,
});

function gate(slots = 2): Gate {
  return new Gate(0, {slots, rules: RULES});
}

describe('Gate', () => {
  it('starts requests up to its slots, queues up to its capacity and refuses the rest', () => {
    const subject = gate(1);
    const admissions = [1, 2, 3, 4].map(
      ref => subject.admit(0, request(ref)).type,
    );
    expect(admissions).toEqual(['start', 'queued', 'queued', 'refuse']);
    expect(subject.finish(5, 1, 'ok')).toEqual([{type: 'start', ref: 2}]);
  });

  it('predicts each of its decisions', () => {
    const step = fc.record({
      afterMs: fc.nat({max: 80}),
      slowdown: fc.constantFrom(1, 1, 5),
      priority: fc.nat({max: 2}),
      objectiveMs: fc.integer({min: 50, max: 400}),
      returning: fc.boolean(),
      finishes: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const subject = gate(3);
        const running: number[] = [];
        let now = 0;
        steps.forEach((options, ref) => {
          now += options.afterMs;
          const finished = options.finishes ? running.shift() : undefined;
          const commands = [
            ...(finished === undefined
              ? []
              : subject.finish(now, finished, 'ok')),
            ...subject.updateSlowdown(now, options.slowdown),
          ];
          for (const command of commands) {
            if (command.type === 'start') running.push(command.ref);
          }
          const {priority, returning, objectiveMs} = options;
          const arriving = {
            ...request(ref),
            route: 'lookups',
            priority,
            returning,
            objective: now + objectiveMs,
            deadline: now + 2 * objectiveMs,
          };
          const accepts = subject.accepts(now, arriving);
          const admission = subject.admit(now, arriving);
          if (admission.type === 'start') running.push(ref);
          expect(accepts).toBe(admission.type !== 'refuse');
        });
      }),
      {seed: 23, numRuns: 300},
    );
  });

  it('refuses queued and new requests while draining and lets running ones finish', () => {
    const subject = gate(1);
    subject.admit(0, request(1));
    subject.admit(0, request(2));
    expect(subject.drain()).toEqual([
      {type: 'refuse', ref: 2, kind: 'draining'},
    ]);
    expect(subject.admit(1, request(3))).toEqual({
      type: 'refuse',
      kind: 'draining',
    });
    expect(subject.finish(9, 1, 'ok')).toEqual([{type: 'drained'}]);
  });

  // Guards against work that is started though the gateway of its caller closes before it can end.
  it('starts a request that must end by its deadline only if it can', () => {
    const subject = gate(1);
    const order = {...request(1), route: 'orders', mustEnd: true};
    expect(subject.admit(0, order).type).toBe('start');
    subject.finish(100, 1, 'ok');
    const tooLate = {...order, ref: 2, deadline: 210, objective: 210};
    expect(subject.admit(100, tooLate)).toEqual({
      type: 'refuse',
      kind: 'deadlineTooShort',
    });
    expect(subject.admit(100, {...tooLate, mustEnd: false}).type).toBe('start');
    const queued = {...order, ref: 3, deadline: 340, objective: 340};
    expect(subject.admit(100, queued).type).toBe('queued');
    // The running request took longer than expected.
    expect(subject.finish(240, 2, 'ok')).toEqual([
      {type: 'refuse', ref: 3, kind: 'deadlineTooShort'},
    ]);
  });

  it('refuses a request that cannot meet its deadline', () => {
    const subject = gate(1);
    subject.admit(0, request(1));
    subject.finish(100, 1, 'ok');
    subject.admit(100, request(2));
    const late = {...request(3), deadline: 150};
    expect(subject.admit(100, late)).toEqual({
      type: 'refuse',
      kind: 'deadlineTooShort',
    });
  });

  it('refuses a queued request in time for another server when its own is stuck', () => {
    const subject = gate(1);
    subject.admit(0, request(1));
    subject.admit(0, request(2));
    expect(subject.advance(299)).toEqual([]);
    expect(subject.advance(300)).toEqual([
      {type: 'refuse', ref: 2, kind: 'queueFull'},
    ]);
    expect(subject.finish(400, 1, 'ok')).toEqual([]);
  });

  it('admits only one suspect at a time', () => {
    const subject = gate(4);
    expect(subject.admit(0, request(1, true)).type).toBe('start');
    expect(subject.admit(0, request(2, true))).toMatchObject({
      kind: 'suspectBusy',
    });
    subject.finish(1, 1, 'ok');
    expect(subject.admit(2, request(3, true)).type).toBe('start');
  });

  it('raises the limit of a cold server gradually', () => {
    const subject = new Gate(0, {
      slots: 10,
      rules: {...RULES, warmUpMs: 1_000},
    });
    const limits = [0, 250, 500, 1_000].map(now => subject.report(now).limit);
    expect(limits).toEqual([2, 4, 6, 10]);
  });

  it('applies the warm-up of rules that arrive after the server started', () => {
    const subject = new Gate(0, {
      slots: 10,
      rules: {...RULES, warmUpMs: 2_000},
    });
    expect(subject.report(0).limit).toBe(2);
    subject.configure(RULES);
    expect(subject.report(0).limit).toBe(10);
  });

  it('lowers its limit when the server sheds and raises it again', () => {
    const subject = gate(10);
    for (let ref = 0; ref < 10; ref++) subject.admit(0, request(ref));
    subject.finish(1, 0, 'shed');
    expect(subject.report(1).limit).toBe(9);
    subject.finish(100, 1, 'ok');
    expect(subject.report(100).limit).toBe(10);
  });

  it('keeps its limit when the server rejects requests although it has free slots', () => {
    const subject = gate(10);
    for (let ref = 0; ref < 10; ref++) {
      subject.admit(ref, request(ref));
      subject.finish(ref, ref, 'rejected');
    }
    expect(subject.report(10).limit).toBe(10);
  });

  it('throws when a request ends that never ran', () => {
    expect(() => gate().finish(0, 99, 'ok')).toThrow(InvariantError);
  });

  it('stays within its bounds in any order of events', () => {
    const step = fc.record({
      kind: fc.constantFrom(
        'admit',
        'finish',
        'cancel',
        'advance',
        'drain',
        'undrain',
      ),
      pick: fc.nat({max: 30}),
      suspect: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80}), steps => {
        const subject = gate(3);
        const running = new Set<number>();
        const apply = (commands: ReturnType<Gate['advance']>): void => {
          for (const c of commands) if (c.type === 'start') running.add(c.ref);
        };
        steps.forEach(({kind, pick, suspect}, now) => {
          if (kind === 'admit') {
            const admission = subject.admit(now, {
              ref: now,
              deadline: now + pick,
              route: '',
              priority: 0,
              objective: now + pick,
              returning: false,
              suspect,
            });
            if (admission.type === 'start') running.add(now);
          }
          const ref = [...running][pick % Math.max(1, running.size)];
          if (kind === 'finish' && ref !== undefined) {
            running.delete(ref);
            apply(subject.finish(now, ref, pick % 3 === 0 ? 'shed' : 'ok'));
          }
          if (kind === 'cancel') subject.cancelQueued(pick);
          if (kind === 'advance') apply(subject.advance(now));
          if (kind === 'drain') apply(subject.drain());
          if (kind === 'undrain') subject.undrain();
          // The invariants of the gate throw if a bound is exceeded.
          expect(subject.inFlight).toBe(running.size);
        });
      }),
      {seed: 5, numRuns: 1_000},
    );
  });
});
