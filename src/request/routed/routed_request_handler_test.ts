import { describe, expect, it } from "vitest";
import { createRoutedRequest } from "../../../tests/support/routed_requests.ts";
import { Metrics } from "../../process/metrics.ts";
import type { RoutingContext } from "../../process/routing_context.ts";
import { NullLogger } from "../../shared/logger.ts";
import { RoutedRequestHandler } from "./routed_request_handler.ts";
import type { ResponseWriter } from "./routed_request.ts";

describe("RoutedRequestHandler", () => {
  describe("handle", () => {
    function doTest(isClosing: boolean): Promise<void> {
      const handler = new RoutedRequestHandler({
        logger: new NullLogger(),
        metrics: new Metrics(),
        plannedStop: { isClosing, isLeaving: isClosing },
        getRoutes: () => undefined,
      } as unknown as RoutingContext);
      return handler.handle(
        createRoutedRequest(),
        { hasStarted: () => false } as ResponseWriter,
      );
    }

    // Guards against a request that arrives over a keep-alive connection late in a planned shutdown and is interrupted at its end.
    it("refuses a request with the verdict not-run near the end of a planned shutdown", async () => {
      await expect(doTest(true)).rejects.toMatchObject({
        code: "shutting-down",
        status: 503,
        verdict: "not-run",
      });
    });

    it("refuses a request before the first configuration arrives", async () => {
      await expect(doTest(false)).rejects.toMatchObject({
        code: "stale-configuration",
      });
    });
  });
});
