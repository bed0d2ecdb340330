import type { IngressLimits } from "../../version/routing_config.ts";
import type { ResponseWriter, RoutedRequest } from "./routed_request.ts";

/** Handles the decoded requests of callers. */
export interface RequestHandler {
  /**
   * Handles a request and writes its response.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  handle(request: RoutedRequest, writer: ResponseWriter): Promise<void>;
  /** Registers a request whose body has not arrived in full. Returns the function to call once `handle` has been called or the request has ended. */
  addIncomingRequest(): () => void;
  /** Returns the size and time limits for the requests of callers. */
  getLimits(): IngressLimits;
  /** Gets whether a planned shutdown has begun, so that callers should send their next request to another daemon. */
  isLeaving(): boolean;
}
