import { BackendError } from "../../connection/backend_transport.ts";
import type { LogFields } from "../../shared/logger.ts";
import type { ServerSentEvent } from "./server_sent_events.ts";

/** Events of a stream that its caller has received, over all attempts. */
export class StreamProgress {
  /** Id of the last event that the caller has received. */
  #lastEventId: number | undefined;
  /** Time from the arrival of the request to its first event, in milliseconds. */
  #firstEventMs: number | undefined;
  /** Longest time between two chunks with new events, in milliseconds. */
  #longestPauseMs = 0;
  #lastEventAtMs: number | undefined;

  /**
   * @param resumeAfter - Id of the last event that the caller received before its request.
   */
  constructor(resumeAfter: number | undefined) {
    this.#lastEventId = resumeAfter;
  }

  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Returns the log fields of the stream. */
  getLogFields(): LogFields {
    return {
      firstEventMs: this.#firstEventMs,
      longestPauseMs: Math.round(this.#longestPauseMs),
      lastEvent: this.#lastEventId,
    };
  }

  /**
   * Drops events that the caller has received. None of the events is accepted when one is missing.
   *
   * @throws {BackendError} When an event is missing in the sequence.
   */
  acceptEvents(events: readonly ServerSentEvent[]): ServerSentEvent[] {
    let lastEventId = this.#lastEventId;
    const acceptedEvents = events.filter(({ id }) => {
      if (id === undefined) {
        return true;
      }
      if (lastEventId !== undefined && id <= lastEventId) {
        return false;
      }
      if (lastEventId !== undefined && id !== lastEventId + 1) {
        throw new BackendError(
          `Event ${id} arrived directly after event ${lastEventId}`,
          { kind: "invalid", verdict: "may-have-run" },
        );
      }
      lastEventId = id;
      return true;
    });
    this.#lastEventId = lastEventId;
    return acceptedEvents;
  }

  /** Records the time from the arrival of the request to its first event, in milliseconds. */
  recordFirstEvent(firstEventMs: number): void {
    this.#firstEventMs = Math.round(firstEventMs);
  }

  /** Records that new events are sent to the caller. */
  recordEvents(): void {
    const nowMs = performance.now();
    const pauseMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastEventAtMs = nowMs;
  }
}
