import {seededRandom} from '@goldcresthill/test-utils';
import {InvariantError} from '@goldcresthill/types';
import {describe, expect, it} from 'vitest';
import {runCallTrial} from './call_simulation';
import type {CallMechanisms} from './call_simulation';
import {
  CALL_FAULTS,
  CALL_STEPS,
  NoFaults,
  RandomFaults,
  SingleFault,
} from './faults';
import {GuaranteeError} from './guarantee_checker';

const RANDOM_TRIALS = 700;
const TRIALS_PER_MECHANISM = 400;
const FAULT_PROBABILITY = 0.06;

function randomFaults(seed: number): RandomFaults {
  return new RandomFaults(seededRandom(seed * 7 + 1), FAULT_PROBABILITY);
}

/** Returns the guarantees and invariants that random trials violate with a mechanism disabled. */
async function violationsWithout(
  disabled: keyof CallMechanisms,
): Promise<Set<string>> {
  const violated = new Set<string>();
  for (let seed = 1; seed <= TRIALS_PER_MECHANISM; seed++) {
    try {
      const mechanisms = {[disabled]: false};
      await runCallTrial({seed, faults: randomFaults(seed), mechanisms});
    } catch (err) {
      if (err instanceof GuaranteeError) violated.add(err.guarantee);
      else if (err instanceof InvariantError) violated.add(err.rule);
      else throw err;
    }
  }
  return violated;
}

describe('calls in virtual time', () => {
  it('answers every request without faults', async () => {
    const {answered, notRun, unknown} = await runCallTrial({
      seed: 3,
      faults: new NoFaults(),
    });
    expect({answered, notRun, unknown}).toMatchInlineSnapshot(`
      {
        "answered": 13,
        "notRun": 0,
        "unknown": 0,
      }
    `);
  });

  it('keeps its guarantees under random faults', async () => {
    for (let seed = 1; seed <= RANDOM_TRIALS; seed++) {
      await runCallTrial({seed, faults: randomFaults(seed)});
    }
  });

  it('does not run a refused call when its request arrives again', async () => {
    // Found by a soak: a repeatable call was reported as not run, and a
    // duplicate of its request arrived later.
    for (const seed of [5_011_067, 5_011_068, 5_011_069]) {
      const faults = new RandomFaults(
        seededRandom(seed * 7 + 1),
        0.12,
        CALL_FAULTS.filter(fault => fault !== 'truncate'),
      );
      await runCallTrial({seed, faults});
    }
  });

  it('keeps its guarantees with every fault at every step', async () => {
    let injected = 0;
    for (const step of CALL_STEPS) {
      for (const fault of CALL_FAULTS) {
        for (const nth of [0, 1, 5]) {
          const faults = new SingleFault(step, fault, nth);
          await runCallTrial({seed: nth + 11, faults});
          if (faults.wasInjected) injected++;
        }
      }
    }
    // Steps that are reached only after an earlier fault are covered by the random trials.
    expect(injected).toBeGreaterThan(CALL_FAULTS.length * 15);
  });

  it.each([
    ['fencing', 'atMostOnce'],
    ['claiming', 'atMostOnce'],
    ['answerChecks', 'wholeAnswer'],
    ['incarnations', 'atMostOnce'],
    ['gateDrain', 'drain'],
  ] as const)('detects a violation without %s', async (disabled, guarantee) => {
    expect(await violationsWithout(disabled)).toContain(guarantee);
  });
});
