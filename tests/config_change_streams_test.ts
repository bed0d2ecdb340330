import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  createPlatformConfig,
  EXCLUDED_ZONE_KIND,
} from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds; a stream lasts for two seconds. */
const EVENT_MS = 100;
/** Number of streams of each daemon, so that each group has some. */
const STREAMS_PER_DAEMON = 4;
/** Time for which the streams run before the configuration changes, in milliseconds. */
const START_MS = 500;
const LEASE_KIND = "tarragontally-leases";
const DAEMON_NAME_PREFIX = "entry-";

type ModelChange = Partial<{ Name: string; size: number; Share: number }>;

// Guards against members that are taken from a group whose head still serves because the group does not fit a new configuration.
describe("streams in flight when a new configuration", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 8, eventMs: EVENT_MS });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    await waitUntil(() => countOpenGroups() === 4);
  });
  afterEach(() => deployment.dispose());

  function countOpenGroups(size = 2): number {
    return [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0 && group.State === "open" &&
      group.members.length === size
    ).length;
  }

  function createServices(...changes: ModelChange[]) {
    const { Services: [models, ...others] } = createPlatformConfig(1);
    const { Engine } = models;
    return {
      Services: [{
        ...models,
        Engine: {
          ...Engine,
          Models: changes.map((change) => ({
            ...Engine!.Models[0],
            ...change,
          })),
        },
      }, ...others],
    };
  }

  function startStreams(): Promise<CallerResponse>[] {
    return deployment.callerAddresses.flatMap((callerAddress) =>
      Array.from(
        { length: STREAMS_PER_DAEMON },
        () => deployment.callModel(callerAddress),
      )
    );
  }

  /** Runs streams while the configuration changes, and returns the responses. */
  async function runStreams(
    changes: readonly Record<string, unknown>[],
  ): Promise<CallerResponse[]> {
    const responses = startStreams();
    await delay(START_MS);
    for (const change of changes) {
      deployment.writeConfig(change);
      await delay(START_MS);
    }
    return await Promise.all(responses);
  }

  function checkStreams(responses: readonly CallerResponse[]): void {
    const conflicts = [...deployment.fleet].filter(([, server]) =>
      server.conflictingJoins + server.leavesWhileServing > 0
    ).map(([id]) => id);
    expect(conflicts).toEqual([]);
    expect(responses.every(({ isWhole }) => isWhole)).toBe(true);
    // None of the groups was interrupted, so that no stream had to move.
    expect(countMoves()).toBe(0);
  }

  function countMoves(): number {
    return deployment.events.filter(({ event }) =>
      event === "stream-moved" || event === "group-lost"
    ).length;
  }

  it(
    "changes the number of servers of a group run to their end, and groups of the new size are formed",
    async () => {
      checkStreams(await runStreams([createServices({ size: 4 })]));
      await waitUntil(() => countOpenGroups(4) === 2);
    },
    60_000,
  );

  it(
    "lowers the number of servers of a group run to their end, and groups of the new size are formed",
    async () => {
      checkStreams(await runStreams([createServices({ size: 1 })]));
      await waitUntil(() => countOpenGroups(1) === 8);
    },
    60_000,
  );

  it(
    "replaces their model run to their end, and groups of the other model are formed",
    async () => {
      checkStreams(await runStreams([createServices({ Name: "other" })]));
      await waitUntil(() => countOpenGroups() === 4);
    },
    60_000,
  );

  it("removes their model and adds it again run to their end", async () => {
    checkStreams(
      await runStreams([createServices({ Name: "other" }), createServices({})]),
    );
    await waitUntil(async () => (await deployment.callModel()).isWhole);
  }, 60_000);

  it("removes their service and adds it again run to their end", async () => {
    const { Services, Routes } = createPlatformConfig(1);
    checkStreams(
      await runStreams([
        { Services: Services.slice(1), Routes: Routes.slice(1) },
        {},
      ]),
    );
    await waitUntil(async () => (await deployment.callModel()).isWhole);
  }, 60_000);

  it("changes the shares of the models run to their end", async () => {
    checkStreams(
      await runStreams([
        createServices({ Share: 0.5 }, { Name: "other", Share: 0.5 }),
        createServices({ Share: 0.1 }, { Name: "other", Share: 0.9 }),
      ]),
    );
    await waitUntil(async () => (await deployment.callModel()).isWhole);
  }, 60_000);

  it("moves their route to another service run to their end", async () => {
    const { Routes: [route, ...others] } = createPlatformConfig(1);
    checkStreams(
      await runStreams([{
        Routes: [{ ...route, Kind: "idempotent", Service: "app" }, ...others],
      }]),
    );
  }, 60_000);

  function findPlannerIndex(): number {
    const lease = deployment.store.getObject(LEASE_KIND, "planner") as {
      holder: string;
    };
    return Number(lease.holder.slice(DAEMON_NAME_PREFIX.length));
  }

  it(
    "changes the number of servers of a group while another daemon becomes the planner run to their end",
    async () => {
      const responses = startStreams();
      await delay(START_MS);
      deployment.writeConfig(createServices({ size: 4 }));
      const stopping = deployment.daemons[findPlannerIndex()].stop();
      checkStreams(await Promise.all(responses));
      await stopping;
      await waitUntil(() => countOpenGroups(4) === 2);
    },
    60_000,
  );

  it(
    "changes the number of servers of a group while a zone is taken out and brought back run to their end",
    async () => {
      const responses = startStreams();
      await delay(START_MS);
      deployment.store.putObject(EXCLUDED_ZONE_KIND, "z2", {});
      await delay(START_MS);
      deployment.writeConfig(createServices({ size: 4 }));
      deployment.store.deleteObject(EXCLUDED_ZONE_KIND, "z2");
      checkStreams(await Promise.all(responses));
      await waitUntil(() => countOpenGroups(4) === 2);
    },
    60_000,
  );

  it(
    "revokes the last API key of their client account run to their end",
    async () => {
      const { Tenants: [account] } = createPlatformConfig(1);
      checkStreams(
        await runStreams([{
          Tenants: [
            { ...account, ApiKeys: [] },
            { ...account, Name: "account-2", ApiKeys: ["key-2"] },
          ],
        }]),
      );
      expect((await deployment.callModel()).status).toBe(401);
    },
    60_000,
  );
});
