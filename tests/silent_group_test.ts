import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 100;
/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 300;
/** Time after the end of a silence in which the planner may still act on it, in milliseconds. */
const OBSERVATION_MS = 2_500;
/** Time within which the members of a group that stays silent have to serve again, in milliseconds: the time after which the platform breaks such a group, and a second to form the next one. */
const RECOVERY_MS = 5_000;

describe("group with a silent member", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 8, eventMs: EVENT_MS });
    // A spare server in each domain lets the planner form another group.
    await Promise.all(
      [["a0", "z1"], ["a1", "z2"]].map(([id, zone]) =>
        deployment.addServer({
          id,
          service: "models",
          zone,
          domain: `${zone}-d0`,
          eventMs: EVENT_MS,
        })
      ),
    );
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    await waitUntil(() => listHeads().length === 4);
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

  function countConflicts(): number {
    return [...deployment.fleet.values()].reduce(
      (sum, server) =>
        sum + server.conflictingJoins + server.leavesWhileServing,
      0,
    );
  }

  /** Sends requests while a task runs, and returns the responses that were cut. */
  async function collectCutResponses(
    runTask: () => Promise<void>,
  ): Promise<CallerResponse[]> {
    const responses: Promise<CallerResponse>[] = [];
    let isOver = false;
    const sendRequests = async () => {
      while (!isOver) {
        deployment.callerAddresses.forEach((callerAddress) =>
          responses.push(deployment.callModel(callerAddress))
        );
        await delay(REQUEST_INTERVAL_MS);
      }
    };
    const traffic = sendRequests();
    await runTask();
    isOver = true;
    await traffic;
    return (await Promise.all(responses)).filter((response) =>
      response.status === 200 && !response.isWhole
    );
  }

  // Guards against members that join another group while their head, which was only silent, still serves.
  for (const role of ["head", "member"] as const) {
    for (const silenceMs of [1_500, 1_900]) {
      it(
        `keeps its members while the ${role} is silent for ${silenceMs} ms`,
        async () => {
          const heads = listHeads().slice(0, 2);
          const cutResponses = await collectCutResponses(async () => {
            await Promise.all(
              heads.map((head) =>
                (role === "head" ? head : findMember(head)).pause(silenceMs)
              ),
            );
            await delay(OBSERVATION_MS);
          });
          expect(countConflicts()).toBe(0);
          expect(cutResponses).toHaveLength(0);
        },
        30_000,
      );
    }
  }

  it(
    "is closed before its other members join another group when the silence of a member lasts for three seconds",
    async () => {
      const heads = listHeads().slice(0, 2);
      await collectCutResponses(async () => {
        await Promise.all(heads.map((head) => findMember(head).pause(3_000)));
        await delay(OBSERVATION_MS);
      });
      expect(countConflicts()).toBe(0);
    },
    30_000,
  );

  // Guards against servers that stay unused when a member of their group never responds again.
  for (const role of ["head", "member"] as const) {
    it(`is replaced soon when the ${role} stays silent`, async () => {
      const [head] = listHeads();
      const member = findMember(head);
      const [endedServer, survivor] = role === "head"
        ? [head, member]
        : [member, head];
      const groupName = head.group!.Name;
      let recoveryMs = 0;
      await collectCutResponses(async () => {
        const startedAtMs = performance.now();
        endedServer.crash();
        await waitUntil(() =>
          survivor.group !== undefined &&
          survivor.group.Name !== groupName &&
          deployment.fleet.get(survivor.group.members[0])!.group?.State ===
            "open"
        );
        recoveryMs = performance.now() - startedAtMs;
      });
      expect(recoveryMs).toBeLessThan(RECOVERY_MS);
    }, 30_000);
  }
});
