import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { FakeDutyApi } from "../fakes/fake_duty_api.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Twice the interval of the renewals, so that the same holder is known after a restore of the store. */
const LEASE_MS = 2_000;
const WINDOW_S = 2;
const DAEMONS = 4;

describe("usage reports of several daemons", () => {
  let deployment: PlatformDeployment;
  let api: FakeDutyApi;
  /** Completed requests of the account, over the whole test. */
  let completedCount: number;

  beforeEach(async () => {
    completedCount = 0;
    api = new FakeDutyApi();
    await api.start();
    deployment = new PlatformDeployment();
    deployment.duties = {
      address: api.address,
      kinds: ["usage_report"],
      leaseMs: LEASE_MS,
      windowS: WINDOW_S,
    };
    await deployment.start({ daemons: DAEMONS, models: 4 });
    // The requests that show that the deployment serves count as well.
    for (const callerAddress of deployment.callerAddresses) {
      await waitUntil(() => callModel(callerAddress));
    }
    await deployment.waitUntilLinked();
  });
  afterEach(async () => {
    await deployment.dispose();
    await api.dispose();
  });

  async function callModel(callerAddress: string): Promise<boolean> {
    const { isWhole } = await deployment.callModel(callerAddress);
    completedCount += isWhole ? 1 : 0;
    return isWhole;
  }

  /** Sends model and plain requests to the daemons in turn for some time. */
  async function sendRequests(
    durationMs: number,
    callerAddresses: readonly string[] = deployment.callerAddresses,
  ): Promise<void> {
    const endMs = performance.now() + durationMs;
    for (let i = 0; performance.now() < endMs; i++) {
      const callerAddress = callerAddresses[i % callerAddresses.length];
      if (i % 3 === 0) {
        await callModel(callerAddress);
      } else {
        const { isWhole } = await deployment.call(callerAddress, {
          method: "GET",
          path: "/look/1",
        });
        completedCount += isWhole ? 1 : 0;
      }
    }
  }

  function countReported(): number {
    let reportedCount = 0;
    for (const counts of api.usage.values()) {
      reportedCount += counts["account-1"] ?? 0;
    }
    return reportedCount;
  }

  /** Waits until the current window has been reported. */
  async function waitForReports(): Promise<void> {
    const window = Math.floor(Date.now() / (WINDOW_S * 1_000));
    await waitUntil(() => api.usage.has(window));
  }

  function checkWindows(): void {
    const windows = [...api.usage.keys()];
    expect(windows).toEqual(
      windows.map((_, index) => windows[0] + index),
    );
    expect(api.violations).toEqual([]);
  }

  // Guards against counts that are missing or doubled between the daemons, and against holders that alternate or report other counts.
  it(
    "count each request once while holders are stopped and replaced",
    async () => {
      await sendRequests(4_000);
      await waitForReports();
      expect(countReported()).toBe(completedCount);
      let callerAddresses: readonly string[] = deployment.callerAddresses;
      for (let stop = 0; stop < 2; stop++) {
        const { holder, token } = api.calls.at(-1)!;
        const index = Number(holder.split("-")[1]);
        callerAddresses = callerAddresses.filter((address) =>
          address !== deployment.callerAddresses[index]
        );
        const stopped = deployment.daemons[index].stop();
        await sendRequests(3_000, callerAddresses);
        await stopped;
        await waitForReports();
        const firstCall = api.calls.find((call) => call.token > token)!;
        const previousCall = api.calls[api.calls.indexOf(firstCall) - 1];
        expect(firstCall.holder).not.toBe(holder);
        expect(firstCall.body).toEqual(previousCall.body);
      }
      expect(countReported()).toBe(completedCount);
      checkWindows();
    },
    60_000,
  );

  // Guards against other counts after lost responses, and against windows that are left out after an outage of the API.
  it("repeat a report exactly until the API confirms it", async () => {
    await sendRequests(1_000);
    await waitForReports();
    api.fault = "lost";
    await sendRequests(2_500);
    api.fault = "down";
    await sendRequests(2_500);
    api.fault = "none";
    await waitForReports();
    expect(countReported()).toBe(completedCount);
    checkWindows();
  }, 60_000);

  // Guards against a second report with other counts when the store has lost a record, and against windows that are left out although the holder is the same.
  it("continue after a restore of the store", async () => {
    await waitForReports();
    const copy = deployment.store.createCopy();
    await sendRequests(5_000);
    deployment.store.applyCopy(copy);
    await sendRequests(5_000);
    await waitForReports();
    expect(countReported()).toBe(completedCount);
    checkWindows();
  }, 60_000);
});

describe("a deployment without duties", () => {
  // Guards against counts and notices that nobody needs.
  it("exchanges and writes no usage", async () => {
    const deployment = new PlatformDeployment();
    try {
      await deployment.start({ daemons: 1, models: 4 });
      await deployment.waitUntilServing();
      expect(deployment.store.getObject("tarragontally-usage", "report"))
        .toBeUndefined();
      expect(deployment.metrics[0].render()).not.toContain("usage");
    } finally {
      await deployment.dispose();
    }
  }, 60_000);
});
