import type { LogFields, Logger, LogLevel } from "../../src/shared/logger.ts";
import { formatLogLine } from "../../src/shared/logger.ts";

/** Events of the real parts that are left out of the table, since the table has them as orders of the network. */
const OMITTED_EVENTS: ReadonlySet<string> = new Set(["order-sent"]);

/** Event of a path. */
export interface PathEvent {
  /** Time since the start of the path, in milliseconds. */
  readonly atMs: number;
  /** Daemon, server or other part that the event belongs to. */
  readonly source: string;
  readonly text: string;
}

/** Log of the events of one path. */
export class EventLog {
  readonly events: PathEvent[] = [];
  readonly #startedAtMs = performance.now();

  /** Appends an event at the current time. */
  record(source: string, text: string): void {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    this.events.push({ atMs, source, text });
  }

  /** Creates the logger of a daemon, whose lines become events. */
  createLogger(source: string): Logger {
    return {
      write: (_level: LogLevel, event: string, fields?: LogFields) => {
        if (!OMITTED_EVENTS.has(event)) {
          this.record(source, `${event} ${formatLogLine(fields ?? {})}`);
        }
      },
    };
  }

  /** Renders the events as a table with the columns time in seconds, source and event. */
  render(): string {
    return this.events.map(({ atMs, source, text }) =>
      `${(atMs / 1_000).toFixed(3).padStart(8)}  ${source.padEnd(10)}${text}`
    ).join("\n");
  }
}
