import { afterEach, describe, expect, it } from "vitest";
import type { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import type { RoutingSettings } from "../src/process/routing_settings.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds; a stream lasts for a second. */
const EVENT_MS = 50;
/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 150;
/** Time for which entries are missing, in milliseconds; longer than the drain notice time. */
const CUT_MS = 2_500;
/** Drain notice time of the deployment's settings, in milliseconds. */
const DRAIN_NOTICE_MS = 2_000;

describe("groups with members whose entries are missing", () => {
  let deployment: PlatformDeployment;

  afterEach(() => deployment.dispose());

  /** Starts three daemons before four groups of two servers. */
  async function start(settings?: Partial<RoutingSettings>): Promise<void> {
    deployment = new PlatformDeployment();
    await deployment.start({
      daemons: 3,
      models: 8,
      eventMs: EVENT_MS,
      settings,
    });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    await waitUntil(() => listHeads().length === 4);
  }

  function listHeads(): FakeBackendServer[] {
    return [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0 && group.State === "open"
    );
  }

  function findMember(head: FakeBackendServer): FakeBackendServer {
    return deployment.fleet.get(head.group!.members[1])!;
  }

  function listEvents(name: string) {
    return deployment.events.filter(({ event }) => event === name);
  }

  /** Sends requests to the daemons in turn for a time, and returns their responses. */
  async function sendRequests(durationMs: number): Promise<CallerResponse[]> {
    const endMs = performance.now() + durationMs;
    const calls: Promise<CallerResponse>[] = [];
    const { callerAddresses } = deployment;
    while (performance.now() < endMs) {
      calls.push(
        deployment.callModel(
          callerAddresses[calls.length % callerAddresses.length],
        ),
      );
      await delay(REQUEST_INTERVAL_MS);
    }
    return await Promise.all(calls);
  }

  function countConflicts(): number {
    return [...deployment.fleet.values()].reduce(
      (sum, { leavesWhileServing, conflictingJoins }) =>
        sum + leavesWhileServing + conflictingJoins,
      0,
    );
  }

  // Guards against a partition between the servers and the store that takes their groups out of service.
  it(
    "serve on and get no order while the members are cut off from the store",
    async () => {
      await start();
      const members = listHeads().map(findMember);
      const orderCount = listEvents("order-sent").length;
      const responses = sendRequests(CUT_MS + 1_500);
      await delay(REQUEST_INTERVAL_MS);
      members.forEach((member) => member.removeEntry({ isLeaving: false }));
      await waitUntil(() => listEvents("member-missing").length === 12);
      const missingAtMs = Date.now();
      await delay(CUT_MS);
      members.forEach((member) => member.publishEntryAgain());
      const restoredAtMs = Date.now();
      const areWhole = (await responses).map(({ isWhole }) => isWhole);
      expect(areWhole).not.toContain(false);
      expect(listEvents("group-not-serving")).toEqual([]);
      expect(listEvents("stream-moved")).toEqual([]);
      expect(listEvents("order-sent").length).toBe(orderCount);
      const runs = deployment.runs.filter(({ atMs }) =>
        atMs > missingAtMs && atMs < restoredAtMs
      );
      expect(runs.length).toBeGreaterThan(0);
      await waitUntil(() => listEvents("member-listed-again").length === 12);
    },
    60_000,
  );

  // Guards against streams that stand still since a member exits whose server has not announced its stop, and against requests to its group that arrive too late.
  it(
    "are closed in time before a member exits that has not announced it",
    async () => {
      await start();
      const [head] = listHeads();
      const member = findMember(head);
      const groupName = head.group!.Name;
      const responses = sendRequests(DRAIN_NOTICE_MS + 1_500);
      await delay(REQUEST_INTERVAL_MS);
      const removedAtMs = Date.now();
      member.removeEntry();
      await delay(DRAIN_NOTICE_MS);
      expect(head.group?.Name === groupName && head.group.State === "open")
        .toBe(false);
      await delay(REQUEST_INTERVAL_MS);
      await member.dispose();
      const areWhole = (await responses).map(({ isWhole }) => isWhole);
      expect(areWhole).not.toContain(false);
      expect(countConflicts()).toBe(0);
      const moves = listEvents("stream-moved").filter(({ fields }) =>
        String(fields.from).startsWith(`${groupName}/`)
      );
      expect(moves).toEqual([]);
      const lateRuns = deployment.runs.filter(({ isWhole, atMs }) =>
        !isWhole && atMs > removedAtMs
      );
      expect(lateRuns).toEqual([]);
    },
    60_000,
  );

  // Guards against a change of the behaviour where the setting turns this off.
  it("leave service at once when the setting says so", async () => {
    await start({ keepsIncompleteGroups: false });
    const [head] = listHeads();
    findMember(head).removeEntry();
    await waitUntil(() => listEvents("group-not-serving").length === 3);
    expect(listEvents("member-missing")).toEqual([]);
    await waitUntil(() =>
      listEvents("order-sent").some(({ fields }) => fields.action === "close")
    );
  }, 60_000);
});
