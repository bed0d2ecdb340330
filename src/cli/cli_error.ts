import type { ExitReason } from "./exit_codes.ts";

/** Error that ends the command with one sentence and the next step. */
export class CliError extends Error {
  override readonly name = "CliError";
  readonly reason: ExitReason;

  /**
   * @param reason - Gives the exit code.
   * @param message - One sentence with the next step.
   */
  constructor(reason: ExitReason, message: string) {
    super(message);
    this.reason = reason;
  }
}
