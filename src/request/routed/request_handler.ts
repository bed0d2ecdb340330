import type { IngressLimits } from "../../version/routing_config.ts";
import type { ResponseWriter, RoutedRequest } from "./routed_request.ts";

/** Part of the daemon that answers the requests that a codec has decoded. */
export interface RequestHandler {
  /**
   * Answers a request.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  handle(request: RoutedRequest, writer: ResponseWriter): Promise<void>;
  /** Gets the bounds on what callers send. */
  getLimits(): IngressLimits;
  /** Gets whether callers should use another daemon for their next request. */
  isLeaving(): boolean;
}
