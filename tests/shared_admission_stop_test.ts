import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { GracefulStop } from "../src/process/graceful_stop.ts";
import { AdmissionGroup } from "./support/admission_group.ts";
import { TestDeployment } from "./support/test_deployment.ts";

const GROUP_ID = "rack-1-1";

describe("planned stop of a daemon with loans", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function countLentSlots(group: AdmissionGroup): number {
    return [...group.members.values()].reduce(
      (sum, m) => sum + m.admission.ledger.getLentCapacity(GROUP_ID).slots,
      0,
    );
  }

  async function doTest(faultMs: number): Promise<number> {
    const group = new AdmissionGroup({ model: {}, random: () => 0.5 });
    ["e0", "e1", "e2"].forEach((name) => group.start(name));
    await vi.advanceTimersByTimeAsync(3_000);
    const borrower =
      [...group.members.values()].find((m) =>
        m.admission.ledger.getOwnShare(GROUP_ID).slots === 0
      ) ?? group.members.get("e2")!;
    const ownSlots = borrower.admission.ledger.getOwnShare(GROUP_ID).slots;
    for (let index = 0; index < ownSlots + 2; index++) {
      void group.request(borrower, { tokens: 10, durationMs: 500 });
    }
    await vi.advanceTimersByTimeAsync(499);
    expect(countLentSlots(group)).toBeGreaterThan(0);
    const gracefulStop = new GracefulStop(
      { balancerLagMs: 0, stopTimeoutMs: 1_000 },
      { write: () => {} },
    );
    gracefulStop.addHook({
      name: "admission",
      release: () => borrower.admission.repayAll(),
    });
    group.faults.loseRequests = faultMs > 0;
    await vi.advanceTimersByTimeAsync(50);
    const stopPromise = gracefulStop.run(() => {});
    await vi.advanceTimersByTimeAsync(faultMs);
    group.faults.loseRequests = false;
    await vi.advanceTimersByTimeAsync(450);
    await stopPromise;
    const lentSlots = countLentSlots(group);
    group.members.forEach((m) => group.stop(m.name));
    await vi.advanceTimersByTimeAsync(100);
    return lentSlots;
  }

  // Guards against loans to a stopped daemon that reduce the lenders' shares until they expire, including when the first repayment message is lost.
  it.each([0, 1_000])(
    "repays all loans when messages are lost for %i ms",
    async (faultMs) => {
      expect(await doTest(faultMs)).toBe(0);
    },
  );
});

describe("planned stop of the whole daemon", () => {
  // Guards against a graceful stop that does not run the repayment of loans.
  it("repays the loans before it ends", async () => {
    const deployment = await TestDeployment.start({
      zones: ["zone-a"],
      daemons: 2,
      enginesPerZone: 2,
    });
    const [daemon] = deployment.daemons;
    const repayAll = vi.spyOn(daemon.context.sharedAdmission, "repayAll");
    await daemon.stop();
    expect(repayAll).toHaveBeenCalledTimes(1);
    await deployment.dispose();
  });
});
