import {describe, expect, it} from 'vitest';
import {OracleError} from '../call/oracle';
import {runTicketTrial} from './ticket_trial';

const TRIALS = 60;

describe('tickets in virtual time', () => {
  it('are in force everywhere, never revert and change services together', async () => {
    const sum = {accepted: 0, refused: 0};
    for (let seed = 1; seed <= TRIALS; seed++) {
      const trial = await runTicketTrial({seed});
      sum.accepted += trial.accepted;
      sum.refused += trial.refused;
      expect(trial.slowestMs).toBeLessThan(15_000);
    }
    expect(sum.accepted).toBeGreaterThan(TRIALS * 3);
    expect(sum.refused).toBeGreaterThan(TRIALS);
  });

  it('are seen to be refused and in force when a lost answer is only read back', async () => {
    const broken = new Set<string>();
    for (let seed = 1; seed <= 3 * TRIALS; seed++) {
      try {
        await runTicketTrial({seed, readingBack: true});
      } catch (err) {
        if (err instanceof OracleError) broken.add(err.promise);
        else throw err;
      }
    }
    expect(broken).toContain('refused');
  });
});
