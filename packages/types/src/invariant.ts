/** Invariant assertions, evaluated in production as well as in tests. */

/** Thrown when an invariant does not hold; `rule` is the name of the invariant. */
export class InvariantError extends Error {
  constructor(
    readonly rule: string,
    detail: string,
  ) {
    super(`invariant ${rule} broken: ${detail}`);
    this.name = 'InvariantError';
  }
}

let checked = 0;

/** Throws InvariantError unless the condition holds. */
export function invariant(
  condition: boolean,
  rule: string,
  detail: () => string = () => '',
): asserts condition {
  checked++;
  if (!condition) throw new InvariantError(rule, detail());
}

/** Number of assertions that this process has evaluated. */
export function invariantCount(): number {
  return checked;
}
