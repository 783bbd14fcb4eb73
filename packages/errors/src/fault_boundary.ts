/** Boundary around work that input from outside the process starts, so that an error ends only that work. */

/** Receives errors that no handler expected. */
export type FaultListener = (err: unknown) => void;

/** Runs a step and reports what it throws, or what the promise that it returns rejects with. */
export function runGuarded(onFault: FaultListener, step: () => unknown): void {
  try {
    const result = step();
    if (isThenable(result)) result.then(undefined, onFault);
  } catch (err) {
    onFault(err);
  }
}

function isThenable(value: unknown): value is PromiseLike<unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    'then' in value &&
    typeof value.then === 'function'
  );
}
