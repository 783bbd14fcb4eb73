/** Fault listener for tests in which nothing may fail. */
export function rethrow(err: unknown): never {
  throw err;
}
