import type { Socket } from "node:net";
import {
  getEndReason,
  recordEndReason,
} from "../connection/connection_end_reason.ts";
import type {
  UnansweredEnd,
  UnansweredEndObserver,
} from "../connection/unanswered_end.ts";
import type { Logger } from "../shared/logger.ts";
import type { Metrics } from "./metrics.ts";
import type { PlannedStop } from "./planned_stop.ts";

/** Maximum length of a request id in a log line, in characters. */
const MAX_ID_LENGTH = 128;

/** Counts connections that end before a response is complete, and logs those that the daemon ended itself. */
export class UnansweredEndRecorder implements UnansweredEndObserver {
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #requests: Pick<PlannedStop, "findRequest">;

  /**
   * @param options.requests - Requests in flight, which tell whether a request was sent to a backend server.
   */
  constructor(
    options: {
      logger: Logger;
      metrics: Metrics;
      requests: Pick<PlannedStop, "findRequest">;
    },
  ) {
    this.#logger = options.logger;
    this.#metrics = options.metrics;
    this.#requests = options.requests;
  }

  recordAbort(socket: Socket): void {
    recordEndReason(socket, "response-aborted");
  }

  recordUnansweredEnd(end: UnansweredEnd): void {
    const { requestId, socket, isRequestComplete, hasStarted, ageMs } = end;
    const reason = getEndReason(socket);
    this.#metrics.count("unanswered_ends", { label: reason });
    if (reason === "caller") {
      return;
    }
    this.#logger.write("warn", "request-unanswered", {
      requestId: requestId?.slice(0, MAX_ID_LENGTH),
      reason,
      isRequestComplete,
      hasStarted,
      hasBeenSent: this.#getHasBeenSent(end),
      ageMs: Math.round(ageMs),
    });
  }

  /** Gets whether the request was sent to a backend server; undefined when the request is no longer in flight. */
  #getHasBeenSent(
    { requestId, hasStarted }: UnansweredEnd,
  ): boolean | undefined {
    const request = requestId === undefined
      ? undefined
      : this.#requests.findRequest(requestId);
    // Only the response of a server can be cut after its start.
    return request?.hasBeenSent() ?? (hasStarted || undefined);
  }
}
