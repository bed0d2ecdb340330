import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import type {
  BackendServer,
  MembershipState,
} from "../../shared/backend_server.ts";
import type { LogFields } from "../../shared/logger.ts";
import type { ReportedGroup } from "../fleet/reported_group.ts";
import { ReplacementTrace } from "./replacement_trace.ts";

describe("ReplacementTrace", () => {
  let lines: LogFields[];
  let trace: ReplacementTrace;

  beforeEach(() => {
    vi.useFakeTimers();
    lines = [];
    trace = new ReplacementTrace({
      logger: { write: (_level, _event, fields = {}) => lines.push(fields) },
    });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createGroup(
    state: MembershipState,
    missingMembers: BackendServer[] = [createBackendServer({ id: "s2" })],
  ): ReportedGroup {
    const head = createBackendServer({
      membership: { groupName: "g1", generation: 1, rank: 0, state },
    });
    return {
      key: "g1/1",
      members: [head],
      missingMembers,
      head,
      size: 2,
      isComplete: missingMembers.length === 0,
      isOutdated: false,
      isReady: state === "ready",
    };
  }

  function recordFormation(): void {
    const atMs = performance.now();
    trace.recordFormation("g2/2", new Set(["g1/1"]), {
      orderedAtMs: atMs,
      leftAtMs: atMs + 5,
      joinedAtMs: atMs + 200,
      openAtMs: atMs + 300,
    });
  }

  // Guards against a step that is missing or counted from the wrong time, so that a wait cannot be found.
  it("logs each step of a replacement once, from the detection on", () => {
    trace.observe([createGroup("open")], () => false);
    vi.advanceTimersByTime(100);
    trace.observe([createGroup("open")], () => true);
    vi.advanceTimersByTime(100);
    trace.observe([createGroup("ready")], () => true);
    vi.advanceTimersByTime(50);
    trace.observe([], () => false);
    recordFormation();
    recordFormation();
    expect(lines).toEqual([{
      group: "g2/2",
      replaced: "g1/1",
      cause: "incomplete",
      closedMs: 200,
      orderedMs: 250,
      leftMs: 255,
      joinedMs: 450,
      openMs: 550,
    }]);
  });

  // Guards against a line for a group that was complete again, and against memory for groups that nobody replaces.
  it("forgets groups that are complete again or have been gone for long", () => {
    trace.observe([createGroup("open")], () => false);
    trace.observe([createGroup("open", [])], () => false);
    recordFormation();
    trace.observe([createGroup("open")], () => false);
    vi.advanceTimersByTime(10_001);
    trace.observe([], () => false);
    recordFormation();
    expect(lines).toEqual([]);
  });
});
