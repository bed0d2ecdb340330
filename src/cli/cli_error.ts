import type { ExitReason } from "./exit_codes.ts";

/** Error that ends the command with a message and an exit code, without a stack trace. */
export class CliError extends Error {
  override readonly name = "CliError";
  readonly reason: ExitReason;

  /**
   * @param reason - Key of the exit code.
   * @param message - What failed and what the operator can do next.
   */
  constructor(reason: ExitReason, message: string) {
    super(message);
    this.reason = reason;
  }
}
