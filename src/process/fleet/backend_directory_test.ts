import { describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { NullLogger } from "../../shared/logger.ts";
import { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";

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
  });
});
