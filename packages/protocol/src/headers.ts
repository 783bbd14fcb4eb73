/** Names of the headers that calls carry. */

/** Header names, in lower case as HTTP libraries give them. */
export const HEADERS = {
  /** Service that a call is for. */
  service: 'gh-service',
  callId: 'gh-call-id',
  /** Milliseconds left until the deadline. */
  deadlineMs: 'gh-deadline-ms',
  retriesLeft: 'gh-retries-left',
  depth: 'gh-depth',
  /** Route that the call was sent on. */
  route: 'gh-route',
  /** Service of the VM where the call began. */
  origin: 'gh-origin',
  priority: 'gh-priority',
  /** Milliseconds left until the latency objective has passed. */
  objectiveMs: 'gh-objective-ms',
  /** The caller was refused before. */
  returning: 'gh-returning',
  idempotencyKey: 'idempotency-key',

  /** Between gateway and gate. */
  attempt: 'gh-attempt',
  gateIncarnation: 'gh-gate-incarnation',
  once: 'gh-once',
  fingerprint: 'gh-fingerprint',
  suspect: 'gh-suspect',
  load: 'gh-load',
  gateUs: 'gh-gate-us',
  resolution: 'gh-resolution',
  /** Length that a whole answer has. */
  wholeBytes: 'gh-whole-bytes',

  /** On answers to callers. */
  errorKind: 'gh-error-kind',
  runState: 'gh-run-state',
  resendSafe: 'gh-resend-safe',
  server: 'gh-server',
} as const;
