import {InvariantError} from '@goldcresthill/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {AttemptLedger} from './ledger';

const INCARNATION = 7;
const attempt = (seq: number) => ({gateway: 'g', incarnation: 1, seq});

describe('AttemptLedger', () => {
  it('resolves each state', () => {
    const ledger = new AttemptLedger<string>({incarnation: INCARNATION});
    for (let seq = 1; seq <= 4; seq++)
      ledger.register(0, attempt(seq), INCARNATION);
    ledger.start(attempt(2));
    ledger.start(attempt(3));
    ledger.finish(attempt(3), 'answer', 6);
    ledger.refuse(attempt(4), 'queueFull');
    const asked = [1, 2, 3, 4, 5].map(seq =>
      ledger.resolve(1, attempt(seq), INCARNATION),
    );
    expect(asked).toMatchInlineSnapshot(`
      [
        {
          "type": "running",
        },
        {
          "type": "running",
        },
        {
          "answer": "answer",
          "type": "done",
        },
        {
          "kind": "queueFull",
          "type": "notRun",
        },
        {
          "kind": "fenced",
          "type": "notRun",
        },
      ]
    `);
  });

  it('refuses an attempt that it has fenced', () => {
    const ledger = new AttemptLedger<string>({incarnation: INCARNATION});
    expect(ledger.resolve(0, attempt(1), INCARNATION).type).toBe('notRun');
    expect(ledger.register(1, attempt(1), INCARNATION)).toEqual({
      type: 'refuse',
      kind: 'fenced',
    });
  });

  it('resolves to unknown for another incarnation and for evicted attempts', () => {
    const ledger = new AttemptLedger<string>({
      incarnation: INCARNATION,
      retentionMs: 10,
    });
    ledger.register(0, attempt(5), INCARNATION);
    ledger.refuse(attempt(5), 'queueFull');
    ledger.evict(20);
    expect(ledger.size).toBe(0);
    expect(ledger.resolve(21, attempt(5), INCARNATION)).toMatchObject({
      type: 'unknown',
    });
    expect(ledger.resolve(21, attempt(6), INCARNATION - 1)).toMatchObject({
      type: 'unknown',
    });
    expect(ledger.register(21, attempt(4), INCARNATION)).toMatchObject({
      kind: 'attemptForgotten',
    });
  });

  it('cannot start an attempt that it has refused', () => {
    const ledger = new AttemptLedger<string>({incarnation: INCARNATION});
    ledger.register(0, attempt(1), INCARNATION);
    ledger.refuse(attempt(1), 'draining');
    expect(() => ledger.start(attempt(1))).toThrow(InvariantError);
  });

  it('never reports notRun for an attempt that runs, in any order of events', () => {
    const step = fc.record({
      kind: fc.constantFrom(
        'register',
        'start',
        'refuse',
        'finish',
        'resolve',
        'evict',
      ),
      seq: fc.integer({min: 0, max: 4}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const ledger = new AttemptLedger<string>({
          incarnation: INCARNATION,
          retentionMs: 3,
        });
        const started = new Set<number>();
        const reportedNotRun = new Set<number>();
        steps.forEach(({kind, seq}, now) => {
          const state = ledger.stateOf(attempt(seq));
          if (kind === 'register')
            ledger.register(now, attempt(seq), INCARNATION);
          if (kind === 'evict') ledger.evict(now);
          if (kind === 'resolve') {
            const resolution = ledger.resolve(now, attempt(seq), INCARNATION);
            if (resolution.type === 'notRun') reportedNotRun.add(seq);
          }
          if (kind === 'start' && state === 'waiting') {
            ledger.start(attempt(seq));
            started.add(seq);
          }
          if (kind === 'refuse' && state === 'waiting')
            ledger.refuse(attempt(seq), 'queueFull');
          if (kind === 'finish' && state === 'running')
            ledger.finish(attempt(seq), 'a', 1);
        });
        return [...reportedNotRun].every(seq => !started.has(seq));
      }),
      {seed: 11, numRuns: 2_000},
    );
  });
});
