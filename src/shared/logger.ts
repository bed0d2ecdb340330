import process from "node:process";
import { Logger as TslogLogger } from "tslog";
import type { LogSink } from "./log_sink.ts";

/** Value of one field of a log line. */
export type LogValue = string | number | boolean | null | undefined;

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of a log line. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes one line of key=value pairs for each event. */
export interface Logger {
  /**
   * Writes one line.
   *
   * @param level - Severity.
   * @param event - Name of the event, in kebab case.
   * @param fields - Fields of the line.
   */
  write(level: LogLevel, event: string, fields?: LogFields): void;
}

const STANDARD_ERROR_SINK: LogSink = {
  writeLine: (line) => void process.stderr.write(`${line}\n`),
};

/** Logger that writes with tslog, to standard error unless another sink is given. */
export class ProcessLogger implements Logger {
  readonly #logger: TslogLogger<unknown>;
  readonly #baseFields: LogFields;
  readonly #minLevel: number;

  constructor(
    baseFields: LogFields,
    options?: { minLevel?: LogLevel; sink?: LogSink },
  ) {
    this.#baseFields = baseFields;
    this.#minLevel = TSLOG_LEVELS[options?.minLevel ?? "info"];
    this.#logger = new TslogLogger({
      type: "hidden",
      minLevel: this.#minLevel,
      hideLogPositionForProduction: true,
    });
    const sink = options?.sink ?? STANDARD_ERROR_SINK;
    this.#logger.attachTransport((record) => {
      sink.writeLine(String(record["0"]));
    });
  }

  write(level: LogLevel, event: string, fields: LogFields = {}): void {
    // Checks the level before formatting: most lines about single requests are suppressed, and formatting one costs more than the rest of handling its event.
    if (TSLOG_LEVELS[level] < this.#minLevel) {
      return;
    }
    const line = formatLogLine({
      time: new Date().toISOString(),
      level,
      event,
      ...this.#baseFields,
      ...fields,
    });
    this.#logger[level](line);
  }
}

/** Logger that discards all lines. */
export class NullLogger implements Logger {
  write(): void {}
}

const TSLOG_LEVELS: Record<LogLevel, number> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

/**
 * Formats fields as one line of key=value pairs. Values with spaces, quotes or control characters are quoted as JSON.
 *
 * @param fields - Fields in order; undefined ones are left out.
 * @example
 * ```ts
 * formatLogLine({ event: "lease-lost", zone: "zone-a" }); // "event=lease-lost zone=zone-a"
 * ```
 */
export function formatLogLine(fields: LogFields): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) {
      pairs.push(`${key}=${formatLogValue(value)}`);
    }
  }
  return pairs.join(" ");
}

function formatLogValue(value: Exclude<LogValue, undefined>): string {
  const text = String(value);
  return /^[^\s"=\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text);
}
