import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

const DAEMONS = 3;
/** Path of the request that crashes the servers that run it. */
const POISON_PATH = "/look/poison";
const SOUND_PATH = "/look/1";
/** Number of times that the request comes; each daemon gets it in turn. */
const REPEATS = 12;
/** Time between two of them, in milliseconds; longer than a server needs to start again. */
const REPEAT_INTERVAL_MS = 700;
/** Number of crashes after which the request is known to crash servers. */
const CRASH_LIMIT = 3;
/** Time after the last of these crashes within which all daemons have to know of them, in milliseconds. */
const NOTICE_MS = 3_000;
/** Number of runs that are allowed later. */
const MAX_LATE_RUNS = 3;

// A lookup that crashed every server of a plain service reached two servers each time it came.
describe("a request that crashes the servers of a plain service", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: DAEMONS, models: 4 });
    await deployment.addServer({ id: "p2", service: "app", zone: "z1" });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
  });
  afterEach(() => deployment.dispose());

  function callLookup(path: string, number: number) {
    const { callerAddresses } = deployment;
    return deployment.call(callerAddresses[number % callerAddresses.length], {
      method: "GET",
      path,
    });
  }

  async function sendRepeats(): Promise<(number | undefined)[]> {
    const statuses: (number | undefined)[] = [];
    for (let i = 0; i < REPEATS; i++) {
      statuses.push((await callLookup(POISON_PATH, i)).status);
      await delay(REPEAT_INTERVAL_MS);
    }
    return statuses;
  }

  function countCrashes(): number {
    return [...deployment.fleet.values()]
      .reduce((sum, { requestCrashes }) => sum + requestCrashes, 0);
  }

  it("is refused by all daemons after three crashes", async () => {
    deployment.fleet.forEach((s) => s.crashingPath = POISON_PATH);
    const statuses = await sendRepeats();
    const crashTimesMs = [...deployment.fleet.values()]
      .flatMap(({ requestCrashesAtMs }) => requestCrashesAtMs)
      .sort((a, b) => a - b);
    expect(crashTimesMs.length).toBeGreaterThanOrEqual(CRASH_LIMIT);
    const noticedAtMs = crashTimesMs[CRASH_LIMIT - 1] + NOTICE_MS;
    const lateRuns = crashTimesMs.filter((atMs) => atMs > noticedAtMs);
    expect(lateRuns.length).toBeLessThanOrEqual(MAX_LATE_RUNS);
    expect(statuses.slice(-DAEMONS)).toEqual([503, 503, 503]);
    expect((await callLookup(SOUND_PATH, 0)).status).toBe(200);
  });

  // A daemon that started learned only of crashes of the last 1.5 s, and let the request crash three more servers.
  it("stays refused while all daemons are replaced in turn", async () => {
    deployment.fleet.forEach((s) => s.crashingPath = POISON_PATH);
    await sendRepeats();
    const crashesBefore = countCrashes();
    for (let i = 0; i < DAEMONS; i++) {
      await deployment.daemons.shift()!.stop();
      deployment.callerAddresses.shift();
      await deployment.startDaemon(`entry-new-${i}`);
      const number = deployment.callerAddresses.length - 1;
      await waitUntil(async () =>
        (await callLookup(SOUND_PATH, number)).status === 200
      );
      await delay(NOTICE_MS);
      expect((await callLookup(POISON_PATH, number)).status).toBe(503);
    }
    expect(countCrashes()).toBe(crashesBefore);
    expect((await callLookup(SOUND_PATH, 0)).status).toBe(200);
  }, 90_000);

  // Guards against evidence that is lost or made old by an outage, or by a daemon that starts during one.
  it(
    "stays refused through an outage of the store in which a daemon starts",
    async () => {
      deployment.fleet.forEach((s) => s.crashingPath = POISON_PATH);
      await sendRepeats();
      const crashesBefore = countCrashes();
      deployment.store.fault = "silent";
      await delay(NOTICE_MS);
      const startPromise = deployment.startDaemon("entry-new");
      await delay(NOTICE_MS);
      for (let i = 0; i < DAEMONS; i++) {
        expect((await callLookup(POISON_PATH, i)).status).toBe(503);
      }
      deployment.store.fault = "none";
      await startPromise;
      await waitUntil(async () =>
        (await callLookup(SOUND_PATH, DAEMONS)).status === 200
      );
      await delay(NOTICE_MS);
      expect((await callLookup(POISON_PATH, DAEMONS)).status).toBe(503);
      expect(countCrashes()).toBe(crashesBefore);
    },
    60_000,
  );

  // A reset alone, such as that of a connection over the limit of a server, is no crash.
  it("is not suspected when its servers only reset connections", async () => {
    const plainServers = ["p0", "p1", "p2"].map((id) =>
      deployment.fleet.get(id)!
    );
    plainServers.forEach((s) => s.responsesToLose = REPEATS);
    await sendRepeats();
    plainServers.forEach((s) => s.responsesToLose = 0);
    for (let i = 0; i < DAEMONS; i++) {
      expect((await callLookup(POISON_PATH, i)).status).toBe(200);
    }
  });
});
