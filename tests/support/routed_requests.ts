import { Buffer } from "node:buffer";
import { PlannedStop } from "../../src/process/planned_stop.ts";
import type { RoutingContext } from "../../src/process/routing_context.ts";
import type { RequestScope } from "../../src/request/routed/request_scope.ts";
import type {
  ResponseWriter,
  RoutedRequest,
} from "../../src/request/routed/routed_request.ts";
import { NullLogger } from "../../src/shared/logger.ts";
import type { Route, RoutedService } from "../../src/version/routing_config.ts";

/** Time from the creation of a request to its deadline, in milliseconds. */
const TIME_TO_DEADLINE_MS = 10_000;
/** Grace period of a planned stop, in milliseconds. */
const STOP_GRACE_MS = 8_000;

/** Creates a request without a body. */
export function createRoutedRequest(
  request: Partial<RoutedRequest> = {},
): RoutedRequest {
  return {
    requestId: "r1",
    method: "GET",
    host: "h",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    receivedAtMs: performance.now(),
    signal: new AbortController().signal,
    ...request,
  };
}

/** Creates the scope of a request to one route. The context holds only the components of a daemon that the test needs. */
export function createRequestScope(
  scope: {
    context: unknown;
    route: Partial<Route>;
    writer?: Partial<ResponseWriter>;
  },
): RequestScope {
  return {
    context: {
      plannedStop: new PlannedStop({
        graceMs: STOP_GRACE_MS,
        logger: new NullLogger(),
      }),
      ...scope.context as Partial<RoutingContext>,
    } as RoutingContext,
    request: createRoutedRequest(),
    writer: { hasStarted: () => false, ...scope.writer } as ResponseWriter,
    route: { name: "route", ...scope.route } as Route,
    service: { name: "service" } as RoutedService,
    priority: 0,
    deadlineAtMs: performance.now() + TIME_TO_DEADLINE_MS,
  };
}
