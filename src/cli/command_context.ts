import process from "node:process";
import type { OperatorClient } from "./operator_client.ts";
import { formatTable } from "./table_format.ts";

/** Text that a command prints. */
export interface Output {
  /**
   * Writes one line.
   *
   * @param line - Text without the line end.
   */
  write(line: string): void;
}

/** Output to standard output. */
export class StandardOutput implements Output {
  write(line: string): void {
    process.stdout.write(`${line}\n`);
  }
}

/** What every command needs. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly output: Output;
  /** Whether the command prints JSON. */
  readonly json: boolean;
  /** Name under which a change is recorded. */
  readonly operator: string;
}

/**
 * Prints a value as JSON, or as a table.
 *
 * @param context - Context of the command.
 * @param value - Value for scripts, and the table for people.
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
