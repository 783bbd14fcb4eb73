/** Exit codes of all commands; docs/COMMANDS.md lists them. */

export const EXIT = {
  ok: 0,
  /** The command line itself is at fault. */
  usage: 1,
  /** A file has faults, or a ticket was refused. */
  refused: 2,
  /** Requests were left unfinished when the grace period ended. */
  unfinished: 3,
  /** An invariant was broken or a check failed. */
  checkFailed: 4,
  /** The node asked could not be reached or did not know. */
  unreachable: 5,
  /** Whether a ticket was accepted could not be settled in time. */
  undetermined: 6,
} as const;
