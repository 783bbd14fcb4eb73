import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Quarantine} from './quarantine';

describe('Quarantine', () => {
  it('quarantines a request after two servers have died', () => {
    const quarantine = new Quarantine();
    const statuses = ['s1', 's1', 's2'].map((instance, at) => {
      quarantine.recordStrike({fingerprint: 'f', instance, at});
      return quarantine.statusOf(10, 'f');
    });
    expect(statuses).toEqual(['suspect', 'suspect', 'quarantined']);
  });

  it('clears a request that has completed', () => {
    const quarantine = new Quarantine();
    quarantine.recordStrike({fingerprint: 'f', instance: 's1', at: 1});
    quarantine.recordClearance({fingerprint: 'f', at: 2});
    expect(quarantine.statusOf(3, 'f')).toBe('clear');
  });

  it('expires strikes after their lifetime', () => {
    const quarantine = new Quarantine({strikeLifetimeMs: 100});
    quarantine.recordStrike({fingerprint: 'f', instance: 's1', at: 0});
    quarantine.recordStrike({fingerprint: 'f', instance: 's2', at: 50});
    expect(quarantine.statusOf(60, 'f')).toBe('quarantined');
    expect(quarantine.statusOf(120, 'f')).toBe('suspect');
    quarantine.evict(200);
    expect(quarantine.isEmpty).toBe(true);
  });

  it('gives the same status to a quarantine that starts with its active strikes', () => {
    const event = fc.record({
      isStrike: fc.boolean(),
      fingerprint: fc.constantFrom('f', 'g', 'h'),
      instance: fc.constantFrom('s1', 's2', 's3'),
      at: fc.integer({min: 0, max: 200}),
    });
    fc.assert(
      fc.property(
        fc.array(event),
        fc.integer({min: 200, max: 400}),
        (events, now) => {
          const origin = new Quarantine({strikeLifetimeMs: 150});
          for (const {isStrike, ...update} of events) {
            if (isStrike) origin.recordStrike(update);
            else origin.recordClearance(update);
          }
          const joined = new Quarantine({strikeLifetimeMs: 150});
          origin
            .activeStrikes(now, events.length)
            .forEach(strike => joined.recordStrike(strike));
          for (const fingerprint of ['f', 'g', 'h']) {
            expect(joined.statusOf(now, fingerprint)).toBe(
              origin.statusOf(now, fingerprint),
            );
          }
        },
      ),
    );
  });

  it('reaches the same status for any order of strikes', () => {
    const strike = fc.record({
      instance: fc.constantFrom('a', 'b', 'c'),
      at: fc.nat({max: 50}),
    });
    fc.assert(
      fc.property(fc.array(strike, {maxLength: 8}), strikes => {
        const forward = new Quarantine();
        const backward = new Quarantine();
        strikes.forEach(s => forward.recordStrike({fingerprint: 'f', ...s}));
        [...strikes]
          .reverse()
          .forEach(s => backward.recordStrike({fingerprint: 'f', ...s}));
        return forward.statusOf(60, 'f') === backward.statusOf(60, 'f');
      }),
      {seed: 9},
    );
  });
});
