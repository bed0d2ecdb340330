import { afterEach, describe, expect, it } from "vitest";
import { LocalAdmission } from "../src/process/local_admission.ts";
import { TestDeployment, waitUntil } from "./support/test_deployment.ts";

const DAEMONS = 5;
const REQUESTS_PER_DAEMON = 8;

describe("shared admission", () => {
  let deployment: TestDeployment;

  afterEach(async () => {
    await deployment.dispose();
  });

  async function startColdGroup(): Promise<void> {
    deployment = await TestDeployment.start({
      zones: ["zone-a"],
      daemons: DAEMONS,
      enginesPerZone: 2,
      engine: { coldRequests: 1, warmAfterRequests: 12 },
      configure: (document) => {
        document.models[0].warmAfterRequests = 12;
        document.models[0].coldSlots = 1;
      },
    });
  }

  async function requestFromAll(): Promise<number[]> {
    const responses = await Promise.all(
      deployment.daemons.flatMap((daemon, d) =>
        Array.from(
          { length: REQUESTS_PER_DAEMON },
          (_, r) => deployment.requestChat(daemon, `tokens=8 ${d}-${r}`),
        )
      ),
    );
    return responses.map((r) => r.statusCode);
  }

  function countCrashes(): number {
    return deployment.engines.reduce((sum, e) => sum + e.crashes, 0);
  }

  // Guards against several daemons that together send a cold engine more requests than it can process.
  it("never crashes a cold engine under load through several daemons", async () => {
    await startColdGroup();
    const statuses = await requestFromAll();
    expect(countCrashes()).toBe(0);
    expect(statuses.every((s) => s === 200)).toBe(true);
  });

  // Guards against warm-up limiters of different daemons that disagree when an engine turns cold again.
  it("never crashes an engine that turns cold again under load", async () => {
    await startColdGroup();
    await requestFromAll();
    const leader = deployment.getLeader(
      deployment.daemons[0].context.placementHolder.getGroups()[0].groupId,
    );
    leader.turnCold();
    await waitUntil(() =>
      deployment.daemons.every((d) =>
        d.context.healthTable.getAll().every((h) => h.state === "cold")
      )
    );
    const statuses = await requestFromAll();
    expect(countCrashes()).toBe(0);
    expect(statuses.every((s) => s === 200)).toBe(true);
  });

  // Shows that the load of these tests crashes an engine when the daemons do not share its capacity.
  it("crashes the engine when each daemon counts only its own requests", async () => {
    await startColdGroup();
    for (const daemon of deployment.daemons) {
      Object.assign(daemon.context, {
        admission: new LocalAdmission(daemon.context.groupDirectory),
      });
    }
    await requestFromAll();
    expect(countCrashes()).toBeGreaterThan(0);
  });
});
