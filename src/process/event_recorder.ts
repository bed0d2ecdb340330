import type { Logger, LogLevel } from "../shared/logger.ts";
import type { Timeline, TimelineEventInput } from "../shared/timeline.ts";

/** Records events on the timeline and writes each as one log line. */
export class EventRecorder {
  readonly #timeline: Timeline;
  readonly #logger: Logger;

  constructor(options: { timeline: Timeline; logger: Logger }) {
    this.#timeline = options.timeline;
    this.#logger = options.logger;
  }

  /**
   * Records an event and writes it to the log.
   *
   * @param level - Severity of the log line.
   * @param input - Fields of the event.
   * @example
   * ```ts
   * events.record("info", { event: "group-lost", fields: { group: "g-1" } });
   * ```
   */
  record(level: LogLevel, input: TimelineEventInput): void {
    this.#timeline.record(input);
    this.#logger.write(level, input.event, {
      requestId: input.requestId,
      ...input.fields,
    });
  }
}
