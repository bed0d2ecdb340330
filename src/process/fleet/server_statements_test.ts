import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import type { PauseStatement } from "../../connection/backend_transport.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import { BackendDirectory } from "./backend_directory.ts";
import { ServerStatements } from "./server_statements.ts";

const LEAVING = { isServerLeaving: true, pause: "none" } as const;
/** Longest pause that is accepted, in milliseconds. */
const MAX_PAUSE_MS = 300_000;
/** Time for which the statement of a missing server is kept, in milliseconds. */
const MISSING_RETENTION_MS = 60_000;

describe("ServerStatements", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  const server = createBackendServer({ id: "s1", startedAtMs: 10 });
  const laterProcess = { ...server, startedAtMs: 20 };

  function createTable() {
    const events: string[] = [];
    const logger: Logger = { write: (_level, event) => events.push(event) };
    const directory = new BackendDirectory({ logger });
    const statements = new ServerStatements({ directory, logger });
    let revision = 0;
    const applyServers = (servers: BackendServer[], removed: string[] = []) => {
      revision++;
      directory.applyChange({
        changed: new Map(
          servers.map((s) => [s.id, { ...s, entryVersion: revision }]),
        ),
        removed,
        revision,
        changeRevision: revision,
        outageMs: 0,
        isSnapshot: false,
      });
    };
    applyServers([server]);
    return { statements, events, applyServers };
  }

  function createPause(pause: PauseStatement) {
    return { isServerLeaving: false, pause };
  }

  describe("getWaitMs", () => {
    // Guards against a server that gets requests again because one of its answers lacks the statement.
    it("is infinite until the process of a leaving server has ended", () => {
      const { statements, applyServers } = createTable();
      statements.recordResponse(server, LEAVING);
      statements.recordResponse(server, createPause("none"));
      vi.advanceTimersByTime(3_600_000);
      applyServers([server]);
      expect(statements.getWaitMs(server)).toBe(Number.POSITIVE_INFINITY);
      expect(statements.isBelowLimit(server)).toBe(false);
    });

    // Guards against a new process, or another server at the address, that inherits a statement.
    it("is zero for another process of the server and for another server", () => {
      const { statements } = createTable();
      statements.recordResponse(server, LEAVING);
      expect(statements.getWaitMs(laterProcess)).toBe(0);
      const neighbour = createBackendServer({ ...server, id: "s2" });
      expect(statements.getWaitMs(neighbour)).toBe(0);
    });

    // Guards against a late answer of an earlier process that replaces what the present one states.
    it("ignores an answer of an earlier process", () => {
      const { statements, applyServers } = createTable();
      applyServers([laterProcess]);
      statements.recordResponse(laterProcess, LEAVING);
      statements.recordResponse(server, createPause(1_000));
      expect(statements.getWaitMs(laterProcess)).toBe(Number.POSITIVE_INFINITY);
      expect(statements.getWaitMs(server)).toBe(0);
    });

    // Guards against a pause that a later and shorter one ends early.
    it("lasts until the latest end of the pauses", () => {
      const { statements } = createTable();
      statements.recordResponse(server, createPause(2_000));
      vi.advanceTimersByTime(500);
      statements.recordResponse(server, createPause(100));
      expect(statements.getWaitMs(server)).toBe(1_500);
      vi.advanceTimersByTime(1_500);
      expect(statements.isBelowLimit(server)).toBe(true);
    });

    // Guards against a server that is never used again after a mistaken statement.
    it("limits the length of a pause", () => {
      const { statements, events } = createTable();
      statements.recordResponse(server, createPause(1e12));
      expect(statements.getWaitMs(server)).toBe(MAX_PAUSE_MS);
      expect(events).toContain("server-pause-invalid");
    });

    // Guards against a server whose entry expired while the store was away, and that gets requests again when the entry is back.
    it("still holds when the entry of a server returns", () => {
      const { statements, applyServers } = createTable();
      statements.recordResponse(server, LEAVING);
      applyServers([], ["s1"]);
      vi.advanceTimersByTime(MISSING_RETENTION_MS);
      applyServers([server]);
      expect(statements.getWaitMs(server)).toBe(Number.POSITIVE_INFINITY);
    });

    // Guards against a request during a stated pause, or to a process that leaves, whatever the order of answers, restarts and removals.
    it("never permits a request that a statement excludes", () => {
      const event = fc.oneof(
        fc.record({
          pause: fc.oneof(
            fc.constant<PauseStatement>("none"),
            fc.constant<PauseStatement>("invalid"),
            fc.integer({ min: 0, max: 5_000 }),
          ),
          isServerLeaving: fc.boolean(),
        }),
        fc.constantFrom("restart", "remove", "list"),
        fc.integer({ min: 1, max: 3_000 }),
      );
      fc.assert(fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        const { statements, applyServers } = createTable();
        let current: BackendServer = server;
        let pausedUntilMs = 0;
        let isLeaving = false;
        for (const step of events) {
          if (typeof step === "number") {
            vi.advanceTimersByTime(step);
          } else if (step === "restart") {
            current = { ...current, startedAtMs: current.startedAtMs + 1 };
            pausedUntilMs = 0;
            isLeaving = false;
            applyServers([current]);
          } else if (step === "remove") {
            applyServers([], ["s1"]);
          } else if (step === "list") {
            applyServers([current]);
          } else {
            statements.recordResponse(current, step);
            isLeaving ||= step.isServerLeaving;
            pausedUntilMs = typeof step.pause === "number"
              ? Math.max(pausedUntilMs, performance.now() + step.pause)
              : pausedUntilMs;
          }
          const isExcluded = isLeaving || pausedUntilMs > performance.now();
          expect(statements.isBelowLimit(current)).toBe(!isExcluded);
        }
      }));
    });
  });

  describe("applyNotice", () => {
    // Guards against a server that leaves and still gets requests from daemons that have had no answer of it.
    it("keeps requests from a server that a peer reported", () => {
      const { statements } = createTable();
      statements.applyNotice({ serverId: "s1", startedAtMs: 10 }, "equal");
      expect(statements.getWaitMs(server)).toBe(Number.POSITIVE_INFINITY);
    });

    // Guards against a peer that reports an earlier process of a server.
    it("ignores a report of an earlier process", () => {
      const { statements, applyServers } = createTable();
      applyServers([laterProcess]);
      statements.applyNotice({ serverId: "s1", startedAtMs: 10 }, "equal");
      expect(statements.isBelowLimit(laterProcess)).toBe(true);
      expect(statements.getReport("equal")).toEqual([]);
    });
  });

  describe("getReport", () => {
    const notice = { serverId: "s1", startedAtMs: 10 };

    // Guards against reports that circulate between hubs, or that never reach members.
    it.each(
      [
        ["own", ["member", "equal", "hub"]],
        ["member", ["equal", "hub"]],
        ["equal", ["hub"]],
        ["hub", ["hub"]],
      ] as const,
    )("passes on a statement from %s as %j", (source, relations) => {
      const { statements } = createTable();
      if (source === "own") {
        statements.recordResponse(server, LEAVING);
      } else {
        statements.applyNotice(notice, source);
      }
      const reporting = (["member", "equal", "hub"] as const).filter((r) =>
        statements.getReport(r).length > 0
      );
      expect(reporting).toEqual(relations);
    });

    // Guards against daemons that remind each other of a process that has ended, and against a pause that another daemon obeys.
    it("contains neither servers that are missing in the directory nor pauses", () => {
      const { statements, applyServers } = createTable();
      statements.recordResponse(server, createPause(1_000));
      expect(statements.getReport("hub")).toEqual([]);
      statements.recordResponse(server, LEAVING);
      expect(statements.getReport("hub")).toEqual([notice]);
      applyServers([], ["s1"]);
      expect(statements.getReport("hub")).toEqual([]);
    });
  });

  describe("recordResponse", () => {
    // Guards against a log that a faulty server fills.
    it("changes nothing for invalid pauses, and logs them once in a while", () => {
      const { statements, events } = createTable();
      const onChange = vi.fn();
      statements.onChange(onChange);
      for (let i = 0; i < 100; i++) {
        statements.recordResponse(server, createPause("invalid"));
      }
      expect(statements.isBelowLimit(server)).toBe(true);
      expect(onChange).not.toHaveBeenCalled();
      expect(events.filter((e) => e === "server-pause-invalid")).toHaveLength(
        1,
      );
    });

    // Guards against statements that pile up in a fleet whose servers come and go.
    it("forgets servers that have been missing for long, and never keeps more than a fixed number", () => {
      const { statements, applyServers } = createTable();
      statements.recordResponse(server, LEAVING);
      applyServers([], ["s1"]);
      vi.advanceTimersByTime(MISSING_RETENTION_MS + 1);
      applyServers([createBackendServer({ id: "s2" })]);
      expect(statements.leavingCount).toBe(0);
      for (let i = 0; i < 3_000; i++) {
        const other = createBackendServer({ id: `other-${i}` });
        statements.recordResponse(other, LEAVING);
      }
      expect(statements.leavingCount).toBe(2_000);
    });

    // Guards against a listener that is called for each answer of a leaving server.
    it("calls the listeners when a server begins to leave, and when it pauses", () => {
      const { statements } = createTable();
      const onChange = vi.fn();
      statements.onChange(onChange);
      statements.recordResponse(server, LEAVING);
      statements.recordResponse(server, LEAVING);
      expect(onChange).toHaveBeenCalledTimes(1);
      statements.recordResponse(server, createPause(100));
      expect(onChange).toHaveBeenCalledTimes(2);
      expect([statements.leavingCount, statements.pausedCount]).toEqual([1, 1]);
    });
  });
});
