/** Exit codes of all commands; docs/COMMANDS.md lists them. */

export const EXIT = {
  ok: 0,
  /** Invalid command-line arguments. */
  usage: 1,
  /** A file is invalid, or a ticket was refused. */
  refused: 2,
  /** Requests were left unfinished when the grace period ended. */
  unfinished: 3,
  /** An invariant was broken or a check failed. */
  checkFailed: 4,
  /** The node could not be reached, or there is no record of the service or call. */
  unreachable: 5,
  /** It could not be determined in time whether a ticket was accepted. */
  undetermined: 6,
  /** An unexpected error ended the command. */
  failed: 7,
} as const;
