/** Exit codes of the command-line tool. */
export const EXIT_CODES = {
  ok: 0,
  /** The daemon refused the document or the request, or the document is invalid. */
  refused: 1,
  /** The arguments are invalid, or a file cannot be read. */
  usage: 2,
  /** The daemon does not respond, or the address is not an operator port. */
  unreachable: 3,
  /** Another document was accepted after the base version of this one. */
  conflict: 4,
  /** The outcome is unknown because the response of the store was lost, or a daemon did not confirm the new version. */
  unconfirmed: 5,
} as const;

/** Key of an exit code in {@link EXIT_CODES}. */
export type ExitReason = keyof typeof EXIT_CODES;
