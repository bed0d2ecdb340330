import process from "node:process";
import type { OperatorClient } from "./operator_client.ts";
import { formatTable } from "./table_format.ts";

/** Destination of the lines that a command prints. */
export interface Output {
  /**
   * Writes one line.
   *
   * @param line - Text without a line terminator.
   */
  write(line: string): void;
}

/** Writes lines to standard output. */
export class StandardOutput implements Output {
  write(line: string): void {
    process.stdout.write(`${line}\n`);
  }
}

/** Client, output and global options that every command uses. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly output: Output;
  /** Whether the command prints JSON instead of a table or a sentence. */
  readonly json: boolean;
  /** Name that is recorded with a configuration change. */
  readonly operator: string;
}

/**
 * Prints a value as JSON if the option `--json` is set, and as a table otherwise.
 *
 * @param context - Context of the command.
 * @param value - Value to print as JSON, and the headings and rows of the table.
 */
export function printResult(
  context: CommandContext,
  value: {
    json: unknown;
    headings: readonly string[];
    rows: readonly (readonly (string | number)[])[];
  },
): void {
  if (context.json) {
    context.output.write(JSON.stringify(value.json, undefined, 2));
    return;
  }
  formatTable(value.headings, value.rows)
    .forEach((line) => context.output.write(line));
}
