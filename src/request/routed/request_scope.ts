import type { RoutingContext } from "../../process/routing_context.ts";
import type { Route, RoutedService } from "../../version/routing_config.ts";
import type { ResponseWriter, RoutedRequest } from "./routed_request.ts";

/** Request with the route, service and client account that the configuration assigns to it. */
export interface RequestScope {
  readonly context: RoutingContext;
  readonly request: RoutedRequest;
  readonly writer: ResponseWriter;
  readonly route: Route;
  readonly service: RoutedService;
  /** Name of the caller's client account. */
  readonly account?: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** Deadline of the response on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
}
