import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds; a stream lasts for two seconds. */
const EVENT_MS = 100;
/** Number of streams of each daemon, so that each group has some. */
const STREAMS_PER_DAEMON = 4;
/** Time for which the streams run before the entries are removed, in milliseconds. */
const START_MS = 500;

// Guards against streams that stand still since the other members leave the group of a server that stops later, or that the store has dropped.
describe("streams in flight when a member's entry is removed", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 8, eventMs: EVENT_MS });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    await waitUntil(() => listMemberIds().length === 4);
  });
  afterEach(() => deployment.dispose());

  /** Lists the members other than the heads of the open groups. */
  function listMemberIds(): string[] {
    return [...deployment.fleet.values()].flatMap(({ group }) =>
      group?.rank === 0 && group.State === "open" ? group.members.slice(1) : []
    );
  }

  it("run to their end while the server goes on", async () => {
    const responses = deployment.callerAddresses.flatMap((callerAddress) =>
      Array.from(
        { length: STREAMS_PER_DAEMON },
        () => deployment.callModel(callerAddress),
      )
    );
    await delay(START_MS);
    listMemberIds().forEach((id) =>
      deployment.store.deleteObject("servers", id)
    );
    const areWhole = (await Promise.all(responses)).map(({ isWhole }) =>
      isWhole
    );
    const conflicts = [...deployment.fleet].filter(([, server]) =>
      server.conflictingJoins + server.leavesWhileServing > 0
    ).map(([id]) => id);
    expect(conflicts).toEqual([]);
    expect(areWhole).not.toContain(false);
    const moves = deployment.events.filter(({ event }) =>
      event === "stream-moved" || event === "group-lost"
    );
    expect(moves).toEqual([]);
  }, 60_000);
});
