import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRoutedRequest } from "../../../tests/support/routed_requests.ts";
import { Metrics } from "../../process/metrics.ts";
import { PlannedStop } from "../../process/planned_stop.ts";
import type { RoutingContext } from "../../process/routing_context.ts";
import { NullLogger } from "../../shared/logger.ts";
import { RoutedRequestHandler } from "./routed_request_handler.ts";
import type { ResponseWriter } from "./routed_request.ts";

describe("RoutedRequestHandler", () => {
  describe("handle", () => {
    beforeEach(() => {
      vi.useFakeTimers();
    });

    afterEach(() => {
      vi.useRealTimers();
    });

    function doTest(plannedStop: PlannedStop): Promise<void> {
      const handler = new RoutedRequestHandler({
        logger: new NullLogger(),
        metrics: new Metrics(),
        plannedStop,
        getRoutes: () => undefined,
      } as unknown as RoutingContext);
      return handler.handle(
        createRoutedRequest(),
        { hasStarted: () => false } as ResponseWriter,
      );
    }

    function createPlannedStop(): PlannedStop {
      return new PlannedStop({ graceMs: 8_000, logger: new NullLogger() });
    }

    // Guards against a request that arrives over a keep-alive connection late in a planned shutdown and is interrupted at its end.
    it("refuses a request with the verdict not-run near the end of a planned shutdown", async () => {
      const plannedStop = createPlannedStop();
      plannedStop.addRequest({
        requestId: "r0",
        receivedAtMs: performance.now(),
        deadlineAtMs: performance.now() + 8_000,
        hasBeenSent: () => true,
        hasStarted: () => false,
        abort: () => {},
      });
      plannedStop.run(() => {});
      await vi.advanceTimersByTimeAsync(5_000);
      await expect(doTest(plannedStop)).rejects.toMatchObject({
        code: "shutting-down",
        status: 503,
        verdict: "not-run",
      });
    });

    it("refuses a request before the first configuration arrives", async () => {
      await expect(doTest(createPlannedStop())).rejects.toMatchObject({
        code: "stale-configuration",
      });
    });
  });
});
