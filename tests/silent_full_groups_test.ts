import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";

/** Time for which sound servers send nothing, in milliseconds. */
const SILENCE_MS = 2_000;
/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 150;
/** Time from the start of the streams to the silence, in milliseconds. */
const START_MS = 500;
/** Number of streams that fill two groups. */
const STREAM_COUNT = 8;

// Guards against groups that the planner takes apart after a silence, although their members respond again and their streams, which no other attempt may follow, still run.
describe("sound servers that are silent together", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 4, eventMs: EVENT_MS });
    deployment.writeConfig({
      Routes: createPlatformConfig(1).Routes.map((route) => ({
        ...route,
        MaxAttempts: 1,
      })),
    });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
  });
  afterEach(() => deployment.dispose());

  it("keep their groups until their streams are complete", async () => {
    const heads = [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0 && group.State === "open"
    );
    const groupNames = heads.map(({ group }) => group!.Name);
    const responses = Array.from(
      { length: STREAM_COUNT },
      (_, i) => deployment.callModel(deployment.callerAddresses[i % 2]),
    );
    await delay(START_MS);
    await Promise.all(heads.map((head) => head.pause(SILENCE_MS)));
    const wholeCount = (await Promise.all(responses))
      .filter(({ isWhole }) => isWhole).length;
    expect({ wholeCount, groups: heads.map(({ group }) => group?.Name) })
      .toEqual({ wholeCount: STREAM_COUNT, groups: groupNames });
  }, 60_000);
});
