/** Exit codes of the command-line tool. */
export const EXIT_CODES = {
  ok: 0,
  /** The document or the request was refused. */
  refused: 1,
  /** Bad arguments or an unreadable file. */
  usage: 2,
  /** The daemon does not answer. */
  unreachable: 3,
  /** Another operator's document was accepted first. */
  conflict: 4,
  /** The outcome is not certain: the store's answer was lost, or a daemon did not confirm the version. */
  unconfirmed: 5,
} as const;

/** Name of an exit code. */
export type ExitReason = keyof typeof EXIT_CODES;
