/** Invariants are asserted in production as well as in tests. */

/** Raised when the program has reached a state that must not exist. */
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

/** How many assertions this process has evaluated. */
export function invariantCount(): number {
  return checked;
}
