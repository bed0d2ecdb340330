import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
} from "./support/platform_deployment.ts";

/** Time for which a sound server sends nothing, in milliseconds; its group is not taken apart for that. */
const SILENCE_MS = 1_000;
/** Time for which a sound server sends nothing, in milliseconds, after which its group may be replaced. */
const LONG_SILENCE_MS = 1_800;
/** Time from the end of a silence to the next one, in milliseconds; shorter than a stream, so that a stream meets more than one. */
const PAUSE_MS = 300;
/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 100;
/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 150;
/** Time between two requests during long silences, in milliseconds; the groups that respond have places for all streams. */
const LONG_REQUEST_INTERVAL_MS = 400;

// Streams were cut, and their groups were taken apart, when sound servers were silent for a second one after the other.
describe("sound servers that are silent for a second", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 8, eventMs: EVENT_MS });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
  });
  afterEach(() => deployment.dispose());

  /** Lets the head of each group fall silent twice, one after the other, and returns the responses that were cut. */
  async function pauseHeads(
    silenceMs: number,
    requestIntervalMs = REQUEST_INTERVAL_MS,
  ): Promise<CallerResponse[]> {
    const heads = listHeads();
    const responses: Promise<CallerResponse>[] = [];
    let isOver = false;
    const sendRequests = async () => {
      while (!isOver) {
        deployment.callerAddresses.forEach((callerAddress) =>
          responses.push(deployment.callModel(callerAddress))
        );
        await delay(requestIntervalMs);
      }
    };
    const traffic = sendRequests();
    for (const head of [...heads, ...heads]) {
      await head.pause(silenceMs);
      await delay(PAUSE_MS);
    }
    isOver = true;
    await traffic;
    return (await Promise.all(responses)).filter((response) =>
      response.status === 200 && !response.isWhole
    );
  }

  function listHeads() {
    return [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0
    );
  }

  it("keep their groups, and no stream is cut", async () => {
    const heads = listHeads();
    const groupNames = heads.map(({ group }) => group!.Name);
    expect(await pauseHeads(SILENCE_MS)).toHaveLength(0);
    expect(heads.map(({ group }) => group?.Name)).toEqual(groupNames);
  }, 60_000);

  it("cut no stream when they are silent for almost two seconds", async () => {
    expect(await pauseHeads(LONG_SILENCE_MS, LONG_REQUEST_INTERVAL_MS))
      .toHaveLength(0);
  }, 60_000);
});
