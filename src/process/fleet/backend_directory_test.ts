import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createBackendServer,
  MEMBER_REPORT,
} from "../../../tests/support/backend_servers.ts";
import { createVersion } from "../../connection/object_store.ts";
import { NullLogger } from "../../shared/logger.ts";
import { BackendDirectory } from "./backend_directory.ts";
import type {
  BackendServer,
  MembershipState,
} from "../../shared/backend_server.ts";

describe("BackendDirectory", () => {
  function createServer(entryVersion: number): BackendServer {
    return createBackendServer({ entryVersion, startedAtMs: entryVersion });
  }

  describe("applyChange", () => {
    function doTest(removedAtRevision: number) {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      directory.offerNotice({
        sinceRevision: 0,
        revision: 20,
        changeRevision: 20,
        servers: [{ ...createServer(20), coldLeftMs: 0 }],
        removed: [],
      });
      directory.applyChange({
        changed: new Map(),
        removed: ["s1"],
        revision: removedAtRevision,
        changeRevision: removedAtRevision,
        outageMs: 0,
        isSnapshot: false,
      });
      return directory.findServer("s1");
    }

    // Guards against an outdated removal: a slow watch delivers it after a peer has already sent the server's next registration.
    it("keeps a server that registered after its removal", () => {
      expect(doTest(10)).toBeDefined();
    });

    it("removes a server whose entry is older than the removal", () => {
      expect(doTest(21)).toBeUndefined();
    });
  });

  describe("offerNotice", () => {
    function createDirectory(): BackendDirectory {
      return new BackendDirectory({ logger: new NullLogger() });
    }

    function change(
      directory: BackendDirectory,
      options: {
        revision: number;
        changed?: readonly string[];
        removed?: readonly string[];
        outageMs?: number;
        isSnapshot?: boolean;
      },
    ): void {
      const { revision, changed = [], removed = [] } = options;
      directory.applyChange({
        changed: new Map(
          changed.map((id) => [
            id,
            createBackendServer({ id, entryVersion: revision }),
          ]),
        ),
        removed,
        revision,
        changeRevision: revision,
        outageMs: options.outageMs ?? 0,
        isSnapshot: options.isSnapshot ?? false,
      });
    }

    function listIds(directory: BackendDirectory): string[] {
      return directory.listServers().map(({ id }) => id).sort();
    }

    it("applies additions and removals since the revision of the receiver", () => {
      const [hub, member] = [createDirectory(), createDirectory()];
      change(hub, { revision: 10, changed: ["s1", "s2"] });
      member.offerNotice(hub.getNotice());
      change(hub, { revision: 20, changed: ["s3"], removed: ["s1"] });
      const notice = hub.getNotice(member.revision);
      expect(notice.servers.map(({ id }) => id)).toEqual(["s3"]);
      member.offerNotice(notice);
      expect(listIds(member)).toEqual(["s2", "s3"]);
      expect(member.revision).toBe(20);
    });

    // Guards against a group that only the planner uses: a status report from before the head opened its group arrives after the entry that says so, and is sent to peers under the version of that entry.
    it("contains the entries of the store rather than older status reports", () => {
      const [hub, member, lateMember] = [
        createDirectory(),
        createDirectory(),
        createDirectory(),
      ];
      const getState = (directory: BackendDirectory) =>
        directory.findServer("s1")?.membership?.state;
      const createEntry = (entryVersion: number, state: MembershipState) =>
        createBackendServer({
          entryVersion,
          membership: { ...MEMBER_REPORT.membership!, state },
        });
      const applyEntry = (
        directory: BackendDirectory,
        entry: BackendServer,
      ) =>
        directory.applyChange({
          changed: new Map([["s1", entry]]),
          removed: [],
          revision: entry.entryVersion,
          changeRevision: entry.entryVersion,
          outageMs: 0,
          isSnapshot: false,
        });
      const readyEntry = createEntry(10, "ready");
      const openEntry = createEntry(11, "open");
      for (const directory of [hub, member]) {
        applyEntry(directory, readyEntry);
      }
      applyEntry(hub, openEntry);
      hub.applyReport("s1", {
        ...MEMBER_REPORT,
        startedAtMs: openEntry.startedAtMs,
        membership: readyEntry.membership,
      });
      member.offerNotice(hub.getNotice(member.revision));
      lateMember.offerNotice(hub.getNotice());
      applyEntry(member, openEntry);
      expect(getState(member)).toBe("open");
      expect(getState(lateMember)).toBe("open");
    });

    it("ignores changes that start after the revision of the receiver", () => {
      const [hub, member] = [createDirectory(), createDirectory()];
      change(hub, { revision: 10, changed: ["s1"] });
      change(hub, { revision: 20, changed: ["s2"] });
      member.offerNotice(hub.getNotice(15));
      expect(listIds(member)).toEqual([]);
    });

    it("removes the servers that a snapshot of the store does not contain", () => {
      const directory = createDirectory();
      change(directory, { revision: 10, changed: ["s1", "s2"] });
      change(directory, { revision: 20, changed: ["s2"], isSnapshot: true });
      expect(listIds(directory)).toEqual(["s2"]);
    });

    it("includes a removal after an outage, which has no revision", () => {
      vi.useFakeTimers();
      const [hub, member] = [createDirectory(), createDirectory()];
      change(hub, { revision: 10, changed: ["s1", "s2"] });
      change(hub, { revision: 20, removed: ["s1"], outageMs: 5_000 });
      member.offerNotice(hub.getNotice());
      vi.advanceTimersByTime(2_500);
      change(hub, { revision: 30 });
      member.offerNotice(hub.getNotice(member.revision));
      expect(listIds(member)).toEqual(["s2"]);
      vi.useRealTimers();
    });

    // Guards against notices that grow with each server that was lost in an outage: each receiver relayed all repeated removals to its own receivers.
    it("does not relay a removal after an outage again", () => {
      vi.useFakeTimers();
      const [hub, member] = [createDirectory(), createDirectory()];
      change(hub, { revision: 10, changed: ["s1", "s2"] });
      change(hub, { revision: 20, removed: ["s1"], outageMs: 5_000 });
      vi.advanceTimersByTime(2_500);
      member.offerNotice(hub.getNotice());
      change(hub, { revision: 30, changed: ["s2"] });
      member.offerNotice(hub.getNotice(member.revision));
      expect(hub.getNotice(30).removed).toEqual(["s1"]);
      expect(member.getNotice(25).removed).toEqual([]);
      expect(member.getNotice(10).removed).toEqual(["s1"]);
      vi.useRealTimers();
    });

    // Guards against requests to a server that has left during an outage: a receiver that does not read the store learns of it only with the next change of the list.
    it("includes the servers that are missing after an outage, which the receiver keeps as long as the sender", () => {
      vi.useFakeTimers();
      const [hub, member] = [createDirectory(), createDirectory()];
      change(hub, { revision: 10, changed: ["s1", "s2", "s3"] });
      member.offerNotice(hub.getNotice());
      change(hub, {
        revision: 20,
        changed: ["s2"],
        removed: ["s1", "s3"],
        outageMs: 5_000,
      });
      member.offerNotice(hub.getNotice(member.revision));
      vi.advanceTimersByTime(1_500);
      expect(listIds(member)).toEqual(["s1", "s2", "s3"]);
      change(hub, { revision: 21, changed: ["s3"] });
      member.offerNotice(hub.getNotice(member.revision));
      vi.advanceTimersByTime(1_000);
      expect(listIds(hub)).toEqual(["s2", "s3"]);
      expect(listIds(member)).toEqual(["s2", "s3"]);
      vi.useRealTimers();
    });
  });

  describe("applyReport", () => {
    function createEntry(
      entryVersion: number,
      state: MembershipState,
    ): BackendServer {
      return createBackendServer({
        entryVersion,
        membership: { ...MEMBER_REPORT.membership!, state },
      });
    }

    /** Applies entries and reports with the given states, and returns the state that the directory has after them. */
    function doTest(
      steps: readonly { entry?: MembershipState; report?: MembershipState }[],
    ): MembershipState | undefined {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      let revision = 10;
      for (const { entry, report } of steps) {
        revision++;
        if (entry !== undefined) {
          directory.applyChange({
            changed: new Map([["s1", createEntry(revision, entry)]]),
            removed: [],
            revision,
            changeRevision: revision,
            outageMs: 0,
            isSnapshot: false,
          });
        }
        if (report !== undefined) {
          const { membership } = createEntry(revision, report);
          directory.applyReport("s1", { ...MEMBER_REPORT, membership });
        }
        vi.advanceTimersByTime(200);
      }
      return directory.findServer("s1")?.membership?.state;
    }

    beforeEach(() => {
      vi.useFakeTimers();
    });

    afterEach(() => {
      vi.useRealTimers();
    });

    // Guards against a group that the planner takes out of service, and opens again, because of a report from before it was opened.
    it("ignores a report that may be from before the last change of the entry", () => {
      expect(doTest([{ entry: "ready" }, { entry: "open" }, {
        report: "ready",
      }])).toBe("open");
    });

    it("applies a report that is from after the last change of the entry", () => {
      expect(
        doTest([{ entry: "open" }, {}, {}, { report: "ready" }]),
      ).toBe("ready");
      expect(doTest([{ entry: "ready" }, { report: "open" }])).toBe("open");
      expect(doTest([{ entry: "closing" }, { report: "ready" }])).toBe("ready");
    });

    // Guards against a head that counts as open for good because it broke soon after a report.
    it.each<MembershipState>(["closing", "broken"])(
      "lets an entry with the state '%s' replace a recent report of an open head",
      (state) => {
        expect(doTest([{ entry: "open", report: "open" }, { entry: state }]))
          .toBe(state);
      },
    );
  });

  describe("listRemovedServers", () => {
    const MEMBERSHIP = {
      groupName: "g1",
      generation: 1,
      rank: 0,
      state: "closing",
    } as const;

    function createDirectory(): BackendDirectory {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      const change = { outageMs: 0, isSnapshot: false };
      directory.applyChange({
        ...change,
        changed: new Map([["s1", createServer(1)]]),
        removed: [],
        revision: 1,
        changeRevision: 1,
      });
      directory.applyChange({
        ...change,
        changed: new Map(),
        removed: ["s1"],
        revision: 2,
        changeRevision: 2,
      });
      return directory;
    }

    // Guards against a removed server whose state is never known again although it responds.
    it("lists a removed server with the state that it has reported since", () => {
      const directory = createDirectory();
      directory.applyReport("s1", {
        ...MEMBER_REPORT,
        membership: MEMBERSHIP,
      });
      expect(directory.listRemovedServers("models")[0].membership)
        .toEqual(MEMBERSHIP);
      expect(directory.findServer("s1")).toBeUndefined();
    });

    it("does not list a server that has registered again", () => {
      const directory = createDirectory();
      directory.applyChange({
        changed: new Map([["s1", createServer(3)]]),
        removed: [],
        revision: 3,
        changeRevision: 3,
        outageMs: 0,
        isSnapshot: false,
      });
      expect(directory.listRemovedServers("models")).toEqual([]);
    });

    it("lists the servers of the given service only", () => {
      expect(createDirectory().listRemovedServers("app")).toEqual([]);
    });
  });

  describe("a restore of the store", () => {
    beforeEach(() => {
      vi.useFakeTimers();
    });
    afterEach(() => {
      vi.useRealTimers();
    });

    interface Change {
      readonly generation: number;
      readonly revision: number;
      readonly servers?: readonly Partial<BackendServer>[];
      readonly removed?: readonly string[];
    }

    /** Creates a directory that knows the server `s1` and its second report of before the restore. */
    function createDirectory(
      server: Partial<BackendServer> = {},
    ): BackendDirectory {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      applySnapshot(directory, {
        generation: 1,
        revision: 20,
        servers: [{ reportNumber: 2, ...server }],
      });
      return directory;
    }

    function apply(
      directory: BackendDirectory,
      { generation, servers = [], removed = [], ...change }: Change,
      isSnapshot = false,
    ): void {
      const revision = createVersion({ generation, ...change });
      directory.applyChange({
        changed: new Map(
          servers.map((server) => [
            server.id ?? "s1",
            createBackendServer({ entryVersion: revision, ...server }),
          ]),
        ),
        removed,
        revision,
        changeRevision: revision,
        outageMs: 0,
        isSnapshot,
      });
    }

    function applySnapshot(directory: BackendDirectory, change: Change): void {
      apply(directory, change, true);
    }

    // Guards against requests to a server whose drain is written at a revision that the store has given out before.
    it("applies a drain at a lower revision", () => {
      const directory = createDirectory();
      applySnapshot(directory, {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 1 }],
      });
      apply(directory, {
        generation: 2,
        revision: 11,
        servers: [{ reportNumber: 3, isDraining: true }],
      });
      expect(directory.findServer("s1")!.isDraining).toBe(true);
      vi.advanceTimersByTime(10_000);
      expect(directory.findServer("s1")!.isDraining).toBe(true);
    });

    // Guards against requests to a server whose removal is written at a revision that the store has given out before.
    it("applies a removal at a lower revision", () => {
      const directory = createDirectory();
      applySnapshot(directory, {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 1 }],
      });
      apply(directory, { generation: 2, revision: 11, removed: ["s1"] });
      expect(directory.findServer("s1")).toBeUndefined();
      vi.advanceTimersByTime(10_000);
      expect(directory.findServer("s1")).toBeUndefined();
    });

    // Guards against requests to a draining server, and against a group that is taken apart, because the entry is some seconds old.
    it("keeps the newer state of a server whose entry was set back", () => {
      const directory = createDirectory({ isDraining: true });
      const snapshot = {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 1 }],
      };
      applySnapshot(directory, snapshot);
      vi.advanceTimersByTime(4_000);
      expect(directory.findServer("s1")!.isDraining).toBe(true);
      vi.advanceTimersByTime(2_000);
      expect(directory.findServer("s1")!.isDraining).toBe(false);
    });

    // Guards against an older entry that replaces the known one after the grace period although a later list has confirmed the known one.
    it("drops an entry that was set back when a later list has the known report", () => {
      const directory = createDirectory({ isDraining: true });
      for (const reportNumber of [1, 2]) {
        applySnapshot(directory, {
          generation: 2,
          revision: 10 + reportNumber,
          servers: [{ reportNumber, isDraining: reportNumber === 2 }],
        });
      }
      vi.advanceTimersByTime(10_000);
      expect(directory.findServer("s1")!.isDraining).toBe(true);
    });

    // Guards against requests to a server that has left in the seconds that a restored store has lost.
    it("does not add a removed server again whose entry has come back", () => {
      const directory = createDirectory();
      apply(directory, { generation: 1, revision: 21, removed: ["s1"] });
      applySnapshot(directory, {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 2 }],
      });
      vi.advanceTimersByTime(4_000);
      expect(directory.findServer("s1")).toBeUndefined();
      apply(directory, {
        generation: 2,
        revision: 11,
        servers: [{ reportNumber: 3 }],
      });
      expect(directory.findServer("s1")).toBeDefined();
    });

    // Guards against the same where a peer has sent its list, without the server, before the list of the store arrives.
    it("does not add a removed server again when the list of a peer came first", () => {
      const directory = createDirectory();
      apply(directory, { generation: 1, revision: 21, removed: ["s1"] });
      applySnapshot(directory, { generation: 2, revision: 10 });
      applySnapshot(directory, {
        generation: 2,
        revision: 11,
        servers: [{ reportNumber: 2 }],
      });
      vi.advanceTimersByTime(4_000);
      expect(directory.findServer("s1")).toBeUndefined();
    });

    // Guards against lost groups because a server that registered in the lost seconds is missing until it registers again.
    it("keeps a missing server until it has had time to register again", () => {
      const directory = createDirectory();
      applySnapshot(directory, { generation: 2, revision: 10 });
      vi.advanceTimersByTime(1_500);
      expect(directory.findServer("s1")).toBeDefined();
      // Another list within the grace period must not end it.
      applySnapshot(directory, { generation: 2, revision: 11 });
      expect(directory.findServer("s1")).toBeDefined();
      vi.advanceTimersByTime(1_000);
      expect(directory.findServer("s1")).toBeUndefined();
    });

    // Guards against warm servers that get cold limits again because the list was read again.
    it("does not prolong the cold time of a server with the same report", () => {
      const directory = createDirectory({ coldUntilMs: 5_000 });
      applySnapshot(directory, {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 2, coldUntilMs: 9_000 }],
      });
      expect(directory.findServer("s1")!.coldUntilMs).toBe(5_000);
    });

    // Guards against too many requests to a cold server that has started again: a status report tells its start before its entry does, and the number of its last report is that of the earlier process.
    it("uses the first entry of a server whose start a status report has told", () => {
      const directory = createDirectory({ startedAtMs: 1, reportNumber: 50 });
      directory.applyReport("s1", {
        startedAtMs: 2,
        loadedModels: [],
        isBusy: false,
        runningRequests: 0,
        waitingRequests: 0,
        heldTokens: 0,
        slowness: 1,
      });
      applySnapshot(directory, {
        generation: 2,
        revision: 10,
        servers: [{ startedAtMs: 2, reportNumber: 3, coldUntilMs: 9_000 }],
      });
      expect(directory.findServer("s1")!.coldUntilMs).toBe(9_000);
    });

    // Guards against a server that is added although the store no longer lists it: its removal was part of a list, and no event reports it.
    it("does not add a removed server when a later list lacks its entry", () => {
      const directory = createDirectory();
      apply(directory, { generation: 1, revision: 21, removed: ["s1"] });
      applySnapshot(directory, {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 2 }],
      });
      applySnapshot(directory, { generation: 2, revision: 11 });
      vi.advanceTimersByTime(10_000);
      expect(directory.findServer("s1")).toBeUndefined();
    });

    // Guards against requests to a draining server after two restores in quick succession.
    it("keeps the newer state of a server for the whole time after a second restore", () => {
      const directory = createDirectory({ isDraining: true });
      for (const generation of [2, 3]) {
        applySnapshot(directory, {
          generation,
          revision: 10,
          servers: [{ reportNumber: 1 }],
        });
        vi.advanceTimersByTime(4_000);
      }
      expect(directory.findServer("s1")!.isDraining).toBe(true);
      vi.advanceTimersByTime(2_000);
      expect(directory.findServer("s1")!.isDraining).toBe(false);
    });

    // Guards against a server that the restored store lacks, and that a peer keeps until the list changes again.
    it("removes a server that is not registered again at a peer that got the list meanwhile", () => {
      const [ahead, behind] = [createDirectory(), createDirectory()];
      applySnapshot(ahead, {
        generation: 2,
        revision: 10,
        servers: [{ id: "s2", reportNumber: 1 }],
      });
      behind.offerNotice(ahead.getNotice(behind.revision));
      vi.advanceTimersByTime(10_000);
      expect(ahead.findServer("s1")).toBeUndefined();
      expect(behind.findServer("s1")).toBeUndefined();
    });

    // Guards against a peer that still has the list of before the restore and brings it back, or does not take the new one.
    it("orders the lists of peers by generation", () => {
      const [ahead, behind] = [createDirectory(), createDirectory()];
      apply(behind, {
        generation: 1,
        revision: 25,
        servers: [{ id: "s2", reportNumber: 1 }],
      });
      applySnapshot(ahead, {
        generation: 2,
        revision: 10,
        servers: [{ reportNumber: 3, isDraining: true }],
      });
      ahead.offerNotice(behind.getNotice());
      expect(ahead.findServer("s1")!.isDraining).toBe(true);
      expect(ahead.findServer("s2")).toBeUndefined();
      behind.offerNotice(ahead.getNotice(behind.revision));
      expect(behind.findServer("s1")!.isDraining).toBe(true);
      vi.advanceTimersByTime(2_500);
      expect(behind.findServer("s2")).toBeUndefined();
    });
  });
});
