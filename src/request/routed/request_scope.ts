import type { RoutingContext } from "../../process/routing_context.ts";
import type { Route, RoutedService } from "../../version/routing_config.ts";
import type { ResponseWriter, RoutedRequest } from "./routed_request.ts";

/** One request with what the configuration says of it. */
export interface RequestScope {
  readonly context: RoutingContext;
  readonly request: RoutedRequest;
  readonly writer: ResponseWriter;
  readonly route: Route;
  readonly service: RoutedService;
  /** Name of the caller's client account. */
  readonly account?: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time after which the answer is of no use, in milliseconds. */
  readonly deadlineAtMs: number;
}
