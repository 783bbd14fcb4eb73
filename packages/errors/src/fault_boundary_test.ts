import {errAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {runGuarded} from './fault_boundary';

describe('runGuarded', () => {
  const steps: Readonly<Record<string, () => unknown>> = {
    'throws an error': () => {
      throw new Error('at once');
    },
    'rejects later': () => Promise.reject(new Error('later')),
    succeeds: () => Promise.resolve(1),
    'returns an error as a result': () => errAsync('expected'),
    'returns nothing': () => undefined,
  };
  const reported = async (step: () => unknown): Promise<string[]> => {
    const faults: string[] = [];
    runGuarded(err => faults.push(String(err)), step);
    await new Promise(done => setImmediate(done));
    return faults;
  };

  it('reports what a step throws or rejects with', async () => {
    const faults = Object.entries(steps).map(async ([name, step]) => [
      name,
      await reported(step),
    ]);
    expect(Object.fromEntries(await Promise.all(faults)))
      .toMatchInlineSnapshot(`
      {
        "rejects later": [
          "Error: later",
        ],
        "returns an error as a result": [],
        "returns nothing": [],
        "succeeds": [],
        "throws an error": [
          "Error: at once",
        ],
      }
    `);
  });
});
