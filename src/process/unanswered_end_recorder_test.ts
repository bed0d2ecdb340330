import { Socket } from "node:net";
import { describe, expect, it } from "vitest";
import {
  type ConnectionEndReason,
  recordEndReason,
} from "../connection/connection_end_reason.ts";
import type { UnansweredEnd } from "../connection/unanswered_end.ts";
import type { LogFields } from "../shared/logger.ts";
import { Metrics } from "./metrics.ts";
import { UnansweredEndRecorder } from "./unanswered_end_recorder.ts";

const END: Omit<UnansweredEnd, "socket"> = {
  requestId: "r1",
  isRequestComplete: true,
  hasStarted: false,
  ageMs: 12.4,
};

describe("UnansweredEndRecorder", () => {
  function doTest(
    end: Omit<UnansweredEnd, "socket">,
    options: {
      sentIds?: string[];
      inFlightIds?: string[];
      reason?: ConnectionEndReason;
    } = {},
  ) {
    const { sentIds = [], inFlightIds = sentIds, reason = "listener-closed" } =
      options;
    const socket = new Socket();
    if (reason !== "caller") {
      recordEndReason(socket, reason);
    }
    const lines: { event: string; fields: LogFields }[] = [];
    const metrics = new Metrics();
    const recorder = new UnansweredEndRecorder({
      logger: {
        write: (_level, event, fields = {}) => lines.push({ event, fields }),
      },
      metrics,
      requests: {
        findRequest: (requestId) =>
          inFlightIds.includes(requestId)
            ? {
              requestId,
              receivedAtMs: 0,
              deadlineAtMs: 1,
              hasBeenSent: () => sentIds.includes(requestId),
              hasStarted: () => false,
              abort: () => {},
            }
            : undefined,
      },
    });
    recorder.recordUnansweredEnd({ ...end, socket });
    return {
      lines,
      count: metrics.getCount("unanswered_ends", reason),
    };
  }

  it("logs an end that the daemon caused", () => {
    expect(doTest(END, { sentIds: ["r1"] })).toEqual({
      count: 1,
      lines: [{
        event: "request-unanswered",
        fields: {
          requestId: "r1",
          reason: "listener-closed",
          isRequestComplete: true,
          hasStarted: false,
          hasBeenSent: true,
          ageMs: 12,
        },
      }],
    });
  });

  it.each([
    { name: "waits", hasStarted: false, inFlightIds: ["r1"], expected: false },
    { name: "has ended", hasStarted: false, inFlightIds: [] },
    {
      name: "was cut after its start",
      hasStarted: true,
      inFlightIds: [],
      expected: true,
    },
  ])("tells whether a request that $name was sent", (options) => {
    const { hasStarted, inFlightIds, expected } = options;
    const { lines } = doTest({ ...END, hasStarted }, { inFlightIds });
    expect(lines[0].fields.hasBeenSent).toBe(expected);
  });

  // Callers leave all the time, so that lines about them would displace others.
  it("only counts an end that the caller caused", () => {
    expect(doTest(END, { reason: "caller" })).toEqual({
      count: 1,
      lines: [],
    });
  });

  it("limits the length of a line", () => {
    const { lines } = doTest({ ...END, requestId: "x".repeat(10_000) });
    expect(String(lines[0].fields.requestId)).toHaveLength(128);
  });
});
