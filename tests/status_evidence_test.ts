import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 50;
/** Time without an event after which the members of a group are checked, in milliseconds, with some room. */
const CHECKED_SILENCE_MS = 600;

/** State of a server that still sends its streams. */
interface ServerState {
  assume(server: FakeBackendServer): void;
  /** Undoes `assume`; without it, the server is about to exit, and a spare one takes its place. */
  restore?(server: FakeBackendServer): void;
}

function answerReports(status: number, body = "{}"): ServerState {
  return {
    assume: (server) => server.reportResponse = { status, body },
    restore: (server) => server.reportResponse = undefined,
  };
}

const NOT_LISTENING: ServerState = {
  assume: (server) => {
    server.drain();
    server.stopListening();
    // The silence makes the daemon check the group.
    void server.pause(CHECKED_SILENCE_MS);
  },
};

// Guards against streams that are cut while their server still sends them, because the response to a status request, or a refused connection, was taken for the end of a member.
describe("a group that goes on sending its streams", () => {
  let deployment: PlatformDeployment;

  beforeAll(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 2, eventMs: EVENT_MS });
    await addServer("m2");
    const { Routes } = createPlatformConfig(1);
    deployment.writeConfig({
      Routes: Routes.map((route) => ({ ...route, Resumable: false })),
    });
  });
  afterAll(() => deployment.dispose());

  async function addServer(id: string): Promise<void> {
    await deployment.addServer({
      id,
      service: "models",
      zone: "z1",
      domain: "z1-d0",
      eventMs: EVENT_MS,
    });
  }

  function listRetryLimits() {
    return deployment.events.filter(({ event }) => event === "retry-refused")
      .map(({ fields }) => fields.limit);
  }

  it.each<[name: string, role: "head" | "member", state: ServerState]>([
    ["its head answers status requests with 503", "head", answerReports(503)],
    ["its head answers status requests with 500", "head", answerReports(500)],
    ["its head answers status requests with 421", "head", answerReports(421)],
    [
      "its head answers status requests without JSON",
      "head",
      answerReports(200, "<html>"),
    ],
    ["a member answers status requests with 503", "member", answerReports(503)],
    ["a member has stopped listening", "member", NOT_LISTENING],
  ])("completes them while %s", async (_, role, state) => {
    const { runs, fleet } = deployment;
    if (state.restore === undefined) {
      await addServer(`spare-${role}`);
    }
    await deployment.waitUntilServing();
    const runsBefore = runs.length;
    const eventsBefore = deployment.events.length;
    const stream = deployment.callModel();
    await waitUntil(() => runs.length > runsBefore);
    await delay(3 * EVENT_MS);
    const head = fleet.get(runs.at(-1)!.serverId)!;
    const server = role === "head" ? head : fleet.get(head.group!.members[1])!;
    head.responsesToLose = 1;
    state.assume(server);
    try {
      // The failure of this request makes the daemon check the group.
      const failedCall = deployment.callModel();
      await waitUntil(() =>
        deployment.events.slice(eventsBefore).some(({ event, fields }) =>
          event === "group-checked" && fields.evidence !== undefined
        )
      );
      const { status, isWhole } = await stream;
      expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
      expect(listRetryLimits()).toContain("route");
      await failedCall;
    } finally {
      state.restore?.(server);
      head.responsesToLose = 0;
    }
  }, 15_000);
});
