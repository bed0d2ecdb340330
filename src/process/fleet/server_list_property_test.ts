import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import type { BackendServerChanges } from "../../connection/peer_notice.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { NullLogger } from "../../shared/logger.ts";
import { BackendDirectory } from "./backend_directory.ts";
import type { ObjectChanges } from "./object_watcher.ts";

const DAEMONS = [0, 1, 2] as const;
const SERVERS = ["s1", "s2", "s3"] as const;

type Server = (typeof SERVERS)[number];

/** Registered servers with the revisions of their entries. */
type Registrations = ReadonlyMap<string, number>;

/** Store whose past registrations can be looked up by revision. */
class RecordedStore {
  /** Registrations by revision; the index is the revision. */
  readonly #states: Registrations[] = [new Map()];
  #firstRevision = 0;

  get revision(): number {
    return this.#states.length - 1;
  }

  getRegistrations(revision = this.revision): Registrations {
    return this.#states[revision];
  }

  addServer(server: Server): void {
    const entry = [server, this.revision + 1] as const;
    this.#states.push(new Map([...this.getRegistrations(), entry]));
  }

  removeServer(server: Server): void {
    if (this.getRegistrations().has(server)) {
      const entries = [...this.getRegistrations()];
      this.#states.push(new Map(entries.filter(([id]) => id !== server)));
    }
  }

  forgetHistory(): void {
    this.#firstRevision = this.revision;
  }

  hasHistory(sinceRevision: number): boolean {
    return sinceRevision >= this.#firstRevision;
  }

  /** Lists the servers with an event after a revision. */
  listChangedIds(sinceRevision: number): Server[] {
    return SERVERS.filter((id) =>
      this.#states.slice(sinceRevision).some((state, i, states) =>
        i > 0 && state.get(id) !== states[i - 1].get(id)
      )
    );
  }
}

/** Daemon whose directory is filled by reads of the store and by notices. */
class ListReader {
  directory = new BackendDirectory({ logger: new NullLogger() });
  /** Notice that is on its way to this daemon. */
  notice: BackendServerChanges | undefined;
  readonly #store: RecordedStore;
  #readRevision: number | undefined;
  /** Response of the store that is on its way to this daemon. */
  #response: ObjectChanges<BackendServer> | undefined;

  constructor(store: RecordedStore) {
    this.#store = store;
  }

  restart(): void {
    this.directory = new BackendDirectory({ logger: new NullLogger() });
    this.notice = undefined;
    this.#readRevision = undefined;
    this.#response = undefined;
  }

  /** Sends a call to the store, which responds with the state at this moment. */
  requestList(): void {
    if (this.#response !== undefined) {
      return;
    }
    const { revision } = this.#store;
    const since = this.#readRevision;
    const isSnapshot = since === undefined || !this.#store.hasHistory(since);
    const registrations = this.#store.getRegistrations();
    const ids = isSnapshot ? SERVERS : this.#store.listChangedIds(since);
    this.#readRevision = revision;
    if (!isSnapshot && ids.length === 0) {
      return;
    }
    const changed = ids.flatMap((id) => {
      const entryVersion = registrations.get(id);
      return entryVersion === undefined
        ? []
        : [[id, createBackendServer({ id, entryVersion })] as const];
    });
    this.#response = {
      changed: new Map(changed),
      removed: isSnapshot ? [] : ids.filter((id) => !registrations.has(id)),
      revision,
      changeRevision: revision,
      outageMs: 0,
      isSnapshot,
    };
  }

  receiveList(): void {
    if (this.#response !== undefined) {
      this.directory.applyChange(this.#response);
      this.#response = undefined;
    }
  }

  readList(): void {
    this.receiveList();
    this.requestList();
    this.receiveList();
  }

  receiveNotice(): void {
    if (this.notice !== undefined) {
      this.directory.offerNotice(this.notice);
      this.notice = undefined;
    }
  }

  listRegistrations(): Registrations {
    return new Map(
      this.directory.listServers().map(({ id, entryVersion }) =>
        [id, entryVersion] as const
      ),
    );
  }
}

type Step =
  | { readonly kind: "register" | "remove"; readonly server: Server }
  | {
    readonly kind: "read" | "request" | "respond" | "restart" | "receive";
    readonly daemon: number;
  }
  | { readonly kind: "send"; readonly from: number; readonly to: number }
  | { readonly kind: "forget-history" };

function runStep(
  step: Step,
  { store, daemons }: { store: RecordedStore; daemons: ListReader[] },
): void {
  switch (step.kind) {
    case "register":
      return store.addServer(step.server);
    case "remove":
      return store.removeServer(step.server);
    case "read":
      return daemons[step.daemon].readList();
    case "request":
      return daemons[step.daemon].requestList();
    case "respond":
      return daemons[step.daemon].receiveList();
    case "restart":
      return daemons[step.daemon].restart();
    case "receive":
      return daemons[step.daemon].receiveNotice();
    case "send": {
      const receiver = daemons[step.to];
      const { revision } = receiver.directory;
      receiver.notice = daemons[step.from].directory.getNotice(revision);
      return;
    }
    case "forget-history":
      return store.forgetHistory();
  }
}

/** Runs the steps, and checks after each one that every list is that of the store at the revision which the list states. */
function doTest(steps: readonly Step[]): void {
  const store = new RecordedStore();
  const daemons = DAEMONS.map(() => new ListReader(store));
  for (const [i, step] of steps.entries()) {
    runStep(step, { store, daemons });
    for (const [name, daemon] of daemons.entries()) {
      const { revision } = daemon.directory;
      expect(
        Object.fromEntries(daemon.listRegistrations()),
        `list of daemon ${name} at revision ${revision} after step ${i}`,
      ).toEqual(Object.fromEntries(store.getRegistrations(revision)));
    }
  }
}

const SERVER = fc.constantFrom(...SERVERS);
const DAEMON = fc.constantFrom(...DAEMONS);
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom("register", "remove"), server: SERVER }),
  fc.record({ kind: fc.constant("read"), daemon: DAEMON }),
  fc.record({
    kind: fc.constantFrom("request", "respond", "restart", "receive"),
    daemon: DAEMON,
  }),
  fc.record({ kind: fc.constant("send"), from: DAEMON, to: DAEMON }),
  fc.record({ kind: fc.constant("forget-history") }),
);

describe("lists of servers at several daemons", () => {
  // Guards against requests to a server that has left: a planner that has started after its removal sends changes, and a receiver with an older list takes them as complete.
  it("drop a server that was removed before the sender started", () => {
    doTest([
      { kind: "register", server: "s1" },
      { kind: "read", daemon: 0 },
      { kind: "read", daemon: 1 },
      { kind: "restart", daemon: 0 },
      { kind: "remove", server: "s1" },
      { kind: "read", daemon: 0 },
      { kind: "register", server: "s2" },
      { kind: "read", daemon: 0 },
      { kind: "send", from: 0, to: 1 },
      { kind: "receive", daemon: 1 },
    ]);
  });

  // Guards against the same with a hub that starts, and takes its list from another hub.
  it("drop a server that was removed before the sender received its list", () => {
    doTest([
      { kind: "register", server: "s1" },
      { kind: "read", daemon: 0 },
      { kind: "read", daemon: 1 },
      { kind: "remove", server: "s1" },
      { kind: "read", daemon: 0 },
      { kind: "send", from: 0, to: 2 },
      { kind: "receive", daemon: 2 },
      { kind: "send", from: 2, to: 1 },
      { kind: "receive", daemon: 1 },
    ]);
  });

  // Guards against requests to a server that came and went between two reads of the sender, and that the receiver has read.
  it("drop a server that the sender never listed", () => {
    doTest([
      { kind: "register", server: "s1" },
      { kind: "read", daemon: 0 },
      { kind: "register", server: "s2" },
      { kind: "read", daemon: 1 },
      { kind: "remove", server: "s2" },
      { kind: "read", daemon: 0 },
      { kind: "send", from: 0, to: 1 },
      { kind: "receive", daemon: 1 },
    ]);
  });

  // Guards against the same when the sender has lost the history of the store, so that it gets no event of the removal.
  it("drop a server that came and went while the sender's watch was interrupted", () => {
    doTest([
      { kind: "register", server: "s1" },
      { kind: "read", daemon: 0 },
      { kind: "register", server: "s2" },
      { kind: "read", daemon: 1 },
      { kind: "remove", server: "s2" },
      { kind: "forget-history" },
      { kind: "read", daemon: 0 },
      { kind: "send", from: 0, to: 1 },
      { kind: "receive", daemon: 1 },
    ]);
  });

  // Guards against the whole class: a list that is believed complete up to its revision and is not.
  it("equal the store's list at the revision that they state, in any order of events", () => {
    fc.assert(
      fc.property(
        fc.array(STEP, { minLength: 8, maxLength: 60, size: "max" }),
        doTest,
      ),
      { numRuns: 1_000 },
    );
  });
});
