import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { FakeObjectStore } from "../fakes/fake_object_store.ts";
import {
  createVersion,
  getGeneration,
} from "../src/connection/object_store.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";
import { StoreReader } from "./support/store_reader.ts";

/** Time within which a change of the store has to be known, in milliseconds; far below the grace periods after a restore. */
const CHANGE_TIMEOUT_MS = 1_500;

describe("a restore of the store from a copy", () => {
  let store: FakeObjectStore;
  const readers: StoreReader[] = [];

  beforeEach(async () => {
    store = new FakeObjectStore();
    await store.start();
    store.putObject("config", "main", createPlatformConfig(1));
    putServer({ Sequence: 1 });
  });
  afterEach(async () => {
    readers.splice(0).forEach((reader) => reader.dispose());
    await store.dispose();
  });

  function putServer(fields: Record<string, unknown>): void {
    store.putObject("servers", "s1", {
      Service: "app",
      Address: "127.0.0.1:1",
      Zone: "z1",
      Slots: 4,
      State: "ready",
      ColdLeftMs: 0,
      born: 1,
      ...fields,
    });
  }

  async function startReader(
    options: { isReadingStore: boolean } = { isReadingStore: true },
  ): Promise<StoreReader> {
    const reader = new StoreReader({
      name: `entry-${readers.length}`,
      store,
      ...options,
    });
    readers.push(reader);
    if (options.isReadingStore) {
      await waitUntil(() =>
        reader.directory.isPopulated && reader.config !== undefined
      );
    }
    return reader;
  }

  function waitForChange(condition: () => boolean): Promise<void> {
    return waitUntil(condition, CHANGE_TIMEOUT_MS);
  }

  function isDraining(reader: StoreReader): boolean | undefined {
    return reader.directory.findServer("s1")?.isDraining;
  }

  function hasZone(reader: StoreReader, zone: string): boolean {
    return reader.excludedZones.getZones().has(zone);
  }

  /** Makes changes that all readers learn of and that a restore then loses, so that the next revisions are given out again. */
  async function applyOlderCopy(
    reader: StoreReader,
    beforeRestore: () => void = () => {},
  ): Promise<void> {
    const copy = store.createCopy();
    store.putObject("evacuations", "z2", {});
    await waitForChange(() => hasZone(reader, "z2"));
    store.deleteObject("evacuations", "z2");
    await waitForChange(() => !hasZone(reader, "z2"));
    putServer({ Sequence: 2, Slots: 5 });
    await waitForChange(() => reader.directory.findServer("s1")?.slots === 5);
    beforeRestore();
    store.applyCopy(copy);
  }

  // Guards against requests to a zone whose exclusion is written at a revision that the store has given out before.
  it("excludes a zone that is taken out of service after it", async () => {
    const reader = await startReader();
    await applyOlderCopy(reader);
    store.putObject("evacuations", "z1", {});
    await waitForChange(() => hasZone(reader, "z1"));
  });

  // Guards against requests to a server whose drain is written at a revision that the store has given out before.
  it("notices that a server drains after it", async () => {
    const reader = await startReader();
    await applyOlderCopy(reader);
    putServer({ Sequence: 3, State: "draining" });
    await waitForChange(() => isDraining(reader) === true);
  });

  // Guards against requests to a server whose removal is written at a revision that the store has given out before.
  it("notices that a server is removed after it", async () => {
    const reader = await startReader();
    await applyOlderCopy(reader);
    putServer({ Sequence: 3, Slots: 6 });
    await waitForChange(() => reader.directory.findServer("s1")?.slots === 6);
    store.deleteObject("servers", "s1");
    await waitForChange(() => reader.directory.findServer("s1") === undefined);
  });

  // Guards against a change that a watch misses: its revision is lower than the one from which the watch goes on, which the store has given out again.
  it("notices changes when the last revision was given out again", async () => {
    const reader = await startReader();
    await applyOlderCopy(reader);
    store.putObject("evacuations", "z1", {});
    for (let i = 0; i < 20; i++) {
      store.putObject("other", "object", i);
    }
    await waitForChange(() => hasZone(reader, "z1"));
  });

  // Guards against peers that keep the state of before the restore, or bring it back.
  it("replaces the state of a peer that has not noticed it", async () => {
    const reader = await startReader();
    const peer = await startReader({ isReadingStore: false });
    await applyOlderCopy(reader, () => reader.sendNotice(peer));
    expect(peer.directory.findServer("s1")!.slots).toBe(5);
    store.putObject("evacuations", "z1", {});
    putServer({ Sequence: 3, State: "draining" });
    await waitForChange(() => hasZone(reader, "z1") && !!isDraining(reader));
    peer.sendNotice(reader);
    expect(hasZone(reader, "z1")).toBe(true);
    expect(isDraining(reader)).toBe(true);
    reader.sendNotice(peer);
    expect(hasZone(peer, "z1")).toBe(true);
    expect(isDraining(peer)).toBe(true);
  });

  // Guards against a daemon that does not read the store, and so misses drains, because a partner confirms the list of before the restore.
  it("does not take the confirmation of a partner that has not noticed it", async () => {
    const reader = await startReader();
    const peer = await startReader({ isReadingStore: false });
    await applyOlderCopy(reader);
    await waitForChange(() => getGeneration(reader.directory.revision) === 1);
    const getPeerAgeMs = () => peer.sync.getReportedListAgeMs("hub");
    const { revision } = reader.directory;
    reader.sendNotice(peer);
    const earlierRevision = createVersion({ generation: 0, revision: 1 });
    peer.receiveNotice("entry-9", {
      serversRevision: earlierRevision,
      serversAgeMs: 0,
    });
    expect(getPeerAgeMs()).toBeUndefined();
    peer.receiveNotice("entry-9", {
      serversRevision: revision,
      serversAgeMs: 0,
    });
    expect(getPeerAgeMs()).toBe(0);
  });

  // Guards against an exclusion, a drain and a configuration that lapse until they are written again.
  it("keeps what was changed in the lost seconds until it is written again", async () => {
    const reader = await startReader();
    const copy = store.createCopy();
    store.putObject("config", "main", createPlatformConfig(2));
    store.putObject("evacuations", "z1", {});
    putServer({ Sequence: 2, State: "draining" });
    await waitForChange(() =>
      hasZone(reader, "z1") && !!isDraining(reader) &&
      reader.config!.version === 2
    );
    store.applyCopy(copy);
    await waitForChange(() => reader.restores > 0);
    await delay(500);
    expect(hasZone(reader, "z1")).toBe(true);
    expect(isDraining(reader)).toBe(true);
    expect(reader.config!.version).toBe(2);
    expect(reader.restores).toBe(1);
    expect(
      reader.events.filter(({ event }) => event === "store-restored"),
    ).toHaveLength(1);
  });
});

describe("daemons after a restore of the store", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  async function startDeployment(daemons: number): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons, models: 0 });
    await deployment.waitUntilLinked();
    return deployment;
  }

  function countVersions(deployment: PlatformDeployment, version: number) {
    return deployment.events.filter(({ event, fields }) =>
      event === "config-in-force" && fields.version === version
    ).length;
  }

  // Guards against a daemon whose registration was lost: others that start find it only after a minute. Also guards against a daemon that starts with the older configuration of the copy and keeps it while its peers have the newer one.
  it("register again, and give a daemon that starts the newest configuration", async () => {
    const deployment = await startDeployment(1);
    const { store } = deployment;
    await waitUntil(() => countVersions(deployment, 1) === 1);
    const copy = store.createCopy();
    await deployment.startDaemon("entry-1");
    await deployment.waitUntilLinked();
    deployment.writeConfig({});
    await waitUntil(() => countVersions(deployment, 2) === 2);
    store.applyCopy(copy);
    const isRegistered = (name: string) =>
      store.getObject("tarragontally-daemons", name) !== undefined;
    await waitUntil(() => isRegistered("entry-1"), 5_000);
    await deployment.startDaemon("entry-2");
    await deployment.waitUntilLinked();
    await waitUntil(() => countVersions(deployment, 2) === 3, 5_000);
    const lateVersions = deployment.events.filter(({ event, fields }) =>
      event === "config-in-force" && Number(fields.before) >
        Number(fields.version)
    );
    expect(lateVersions).toEqual([]);
  });
});
