import type { LogFields } from "../../shared/logger.ts";

/** Forwards one request to backend servers. */
export interface RequestForwarder {
  /** Whether the request has been sent to a backend server that may still run it or may have run it; `false` again once the server has declined it. */
  readonly hasBeenSent: boolean;
  /**
   * Forwards the request until its response is complete.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  run(): Promise<void>;
  /** Returns the log fields of the completed request. */
  getLogFields(): LogFields;
}
