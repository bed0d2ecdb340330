import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds; a stream takes 20 times as long. */
const EVENT_MS = 150;
/** Number of concurrent streams, which is the number of slots of both groups. */
const STREAM_COUNT = 8;
/** Time from the begin of the streams until the entry is removed, in milliseconds. */
const STREAM_AGE_MS = 700;
/** Time within which the other members of a group have to serve again after the process of one has ended, in milliseconds. */
const RECOVERY_MS = 3_000;

describe("group with a member whose entry has been removed", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 4, eventMs: EVENT_MS });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    await waitUntil(() => listHeads().length === 2);
    // Lets the planner form the next group.
    for (const [id, zone] of [["a0", "z1"], ["a1", "z2"]]) {
      await deployment.addServer({
        id,
        service: "models",
        zone,
        domain: `${zone}-d0`,
        eventMs: EVENT_MS,
      });
    }
  });
  afterEach(() => deployment.dispose());

  function listHeads(): FakeBackendServer[] {
    return [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0 && group.State === "open"
    );
  }

  function findMember(head: FakeBackendServer): FakeBackendServer {
    return deployment.fleet.get(head.group!.members[1])!;
  }

  /** Gets a member of the first group, and the other member. */
  function getMembers(
    role: "head" | "member",
  ): [server: FakeBackendServer, other: FakeBackendServer] {
    const [head] = listHeads();
    const member = findMember(head);
    return role === "head" ? [head, member] : [member, head];
  }

  function countLeavesWhileServing(): number {
    return [...deployment.fleet.values()].reduce(
      (sum, { leavesWhileServing, conflictingJoins }) =>
        sum + leavesWhileServing + conflictingJoins,
      0,
    );
  }

  function isServingAgain(server: FakeBackendServer, groupName: string) {
    return server.group !== undefined && server.group.Name !== groupName &&
      deployment.fleet.get(server.group.members[0])!.group?.State === "open";
  }

  for (const role of ["head", "member"] as const) {
    // Guards against streams that stand still since the planner lets members leave a group whose head still serves.
    it(
      `completes its streams where they are when the ${role} serves on`,
      async () => {
        const [server] = getMembers(role);
        const groupName = server.group!.Name;
        const streams = Array.from(
          { length: STREAM_COUNT },
          (_, index) =>
            deployment.callModel(
              deployment
                .callerAddresses[index % deployment.callerAddresses.length],
            ),
        );
        await delay(STREAM_AGE_MS);
        server.removeEntry();
        const responses = await Promise.all(streams);
        expect(responses.map(({ status, isWhole }) => ({ status, isWhole })))
          .toEqual(responses.map(() => ({ status: 200, isWhole: true })));
        expect(countLeavesWhileServing()).toBe(0);
        expect(
          deployment.events.filter(({ event, fields }) =>
            event === "attempt-ended" &&
            String(fields.group).startsWith(`${groupName}/`)
          ),
        ).toEqual([]);
      },
      30_000,
    );

    // Guards against servers that stay unused while they wait for one that has ended.
    it(
      `is replaced soon when the process of the ${role} has ended`,
      async () => {
        const [server, other] = getMembers(role);
        const groupName = server.group!.Name;
        const startedAtMs = performance.now();
        server.removeEntry();
        await server.dispose();
        await waitUntil(() => isServingAgain(other, groupName));
        expect(performance.now() - startedAtMs).toBeLessThan(RECOVERY_MS);
      },
      30_000,
    );
  }
});
