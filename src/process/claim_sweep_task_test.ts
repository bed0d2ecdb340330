import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ServiceDeployment } from "../../tests/support/service_deployment.ts";
import { delay } from "../shared/delay.ts";
import { ClaimSweepTask } from "./claim_sweep_task.ts";

const RETENTION_MS = 1_000;

describe("ClaimSweepTask.removeExpiredClaims", () => {
  let deployment: ServiceDeployment;

  beforeEach(async () => {
    deployment = await ServiceDeployment.start({
      daemons: 1,
      settings: { claimRetentionMs: RETENTION_MS },
    });
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  // Guards against a store that fills up with old claims, and against the deletion of a claim that is still needed.
  it("deletes claims only after their retention and the safety margin", async () => {
    const daemon = deployment.daemons[0];
    await deployment.send({ address: daemon.callerAddress, key: "visit-1" });
    const sweepTask = new ClaimSweepTask(daemon.context, { safetyMarginMs: 0 });
    await sweepTask.removeExpiredClaims();
    expect(deployment.platform.getObjects("claim").length).toBe(1);
    const stored = deployment.platform.getObjects("claim")[0];
    deployment.platform.setObject("claim", stored.name, {
      ...stored.value as object,
      retainUntilMs: Date.now() + 50,
    });
    await delay(60);
    await new ClaimSweepTask(daemon.context).removeExpiredClaims();
    expect(deployment.platform.getObjects("claim").length).toBe(1);
    await sweepTask.removeExpiredClaims();
    expect(deployment.platform.getObjects("claim")).toEqual([]);
  });
});
