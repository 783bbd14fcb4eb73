import {describe, expect, it} from 'vitest';
import {GuaranteeError} from '../call/guarantee_checker';
import {runTicketTrial} from './ticket_trial';

const TRIALS = 60;

describe('tickets in virtual time', () => {
  it('are in force on all nodes, never revert and change their services together', async () => {
    const totals = {accepted: 0, refused: 0};
    for (let seed = 1; seed <= TRIALS; seed++) {
      const trial = await runTicketTrial({seed});
      totals.accepted += trial.accepted;
      totals.refused += trial.refused;
      expect(trial.inForceMs).toBeLessThan(15_000);
    }
    expect(totals.accepted).toBeGreaterThan(TRIALS * 3);
    expect(totals.refused).toBeGreaterThan(TRIALS);
  });

  it('can be refused and yet in force when a read decides about a lost answer', async () => {
    const violated = new Set<string>();
    for (let seed = 1; seed <= 3 * TRIALS; seed++) {
      try {
        await runTicketTrial({seed, useReadBack: true});
      } catch (err) {
        if (err instanceof GuaranteeError) violated.add(err.guarantee);
        else throw err;
      }
    }
    expect(violated).toContain('refused');
  });
});
