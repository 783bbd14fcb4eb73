/** Names of the headers of calls and their responses. */

/** Header names, in lower case as HTTP libraries return them. */
export const HEADERS = {
  /** Service that a call is for. */
  service: 'gh-service',
  callId: 'gh-call-id',
  /** Milliseconds left until the deadline. */
  deadlineMs: 'gh-deadline-ms',
  retriesLeft: 'gh-retries-left',
  depth: 'gh-depth',
  /** Name of the route that the call matched. */
  route: 'gh-route',
  /** Service of the VM where the call originated. */
  origin: 'gh-origin',
  priority: 'gh-priority',
  /** Milliseconds left until the latency objective. */
  objectiveMs: 'gh-objective-ms',
  /** Set if the caller retries after a refusal. */
  returning: 'gh-returning',
  idempotencyKey: 'idempotency-key',

  /** Between gateway and gate. */
  attempt: 'gh-attempt',
  gateIncarnation: 'gh-gate-incarnation',
  once: 'gh-once',
  fingerprint: 'gh-fingerprint',
  suspect: 'gh-suspect',
  /** Set if the call is refused rather than started when it is not expected to end by its deadline. */
  mustEnd: 'gh-must-end',
  load: 'gh-load',
  gateUs: 'gh-gate-us',
  resolution: 'gh-resolution',
  /** Length of the complete response body, bytes. */
  wholeBytes: 'gh-whole-bytes',

  /** On responses to callers. */
  errorKind: 'gh-error-kind',
  runState: 'gh-run-state',
  resendSafe: 'gh-resend-safe',
  server: 'gh-server',
} as const;
