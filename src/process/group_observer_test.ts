import { Left, Right } from "purify-ts";
import { describe, expect, it } from "vitest";
import { createModelEngines } from "../../tests/support/model_engine.ts";
import { EngineError } from "../connection/engine_client.ts";
import { GroupObserver } from "./group_observer.ts";

function createError(code: string): EngineError {
  const cause = Object.assign(new Error("The call failed"), { code });
  return new EngineError("The status is not available", {
    verdict: "not-run",
    kind: "unreachable",
    cause,
  });
}

describe("GroupObserver", () => {
  const engines = createModelEngines(
    [{ name: "rack-1", zone: "zone-a", vms: 1 }],
    { loadSteps: 0 },
  );
  const engine = engines.get("rack-1-vm-001")!;
  const getStatusResult = () => Right(engine.getStatus(engines)!);

  describe("recordStatusResult", () => {
    // Guards against a group that is taken out of service because of one slow status response.
    it("returns the last status until three requests have failed", () => {
      const observer = new GroupObserver(1);
      observer.recordStatusResult("vm-1", getStatusResult());
      const timeout = Left(createError("ETIMEDOUT"));
      const hasStatus = [1, 2, 3].map(() =>
        observer.recordStatusResult("vm-1", timeout) !== undefined
      );
      expect(hasStatus).toEqual([true, true, false]);
    });

    // Guards against requests to a group after the process of a member has ended.
    it("counts a member as missing after one refused connection", () => {
      const observer = new GroupObserver(1);
      observer.recordStatusResult("vm-1", getStatusResult());
      const refusedResult = Left(createError("ECONNREFUSED"));
      expect(observer.recordStatusResult("vm-1", refusedResult))
        .toBeUndefined();
    });

    // Guards against the last status of a member that has stopped responding being treated as new.
    it("keeps the request time of the oldest status in use", () => {
      const observer = new GroupObserver(1);
      const timeout = Left(createError("ETIMEDOUT"));
      observer.recordStatusResult("vm-1", getStatusResult(), 1_000);
      observer.recordStatusResult("vm-2", getStatusResult(), 1_000);
      observer.recordStatusResult("vm-1", getStatusResult(), 2_000);
      observer.recordStatusResult("vm-2", timeout, 2_000);
      expect(observer.hasMissedStatus()).toBe(true);
      expect(observer.getOldestStatusRequestMs()).toBe(1_000);
      observer.recordStatusResult("vm-2", getStatusResult(), 3_000);
      expect(observer.hasMissedStatus()).toBe(false);
      expect(observer.getOldestStatusRequestMs()).toBe(2_000);
    });

    // Guards against a member restart between two status requests that goes undetected.
    it("counts changes of the boot id", () => {
      const observer = new GroupObserver(1);
      observer.recordStatusResult("vm-1", getStatusResult());
      observer.recordStatusResult("vm-1", getStatusResult());
      expect(observer.restarts).toBe(0);
      engine.assumeRestart();
      observer.recordStatusResult("vm-1", getStatusResult());
      expect(observer.restarts).toBe(1);
    });
  });

  describe("recordTokenInterval", () => {
    // Guards against a slow member that is not detected, and against normal variation that is reported as a slow member.
    it("reports an interval far above the recent median", () => {
      const observer = new GroupObserver(1);
      const intervalsMs = [5, 6, 5, 7, 5, 6, 9, 5, 6, 5];
      intervalsMs.forEach((ms) => observer.recordTokenInterval(ms));
      observer.recordTokenInterval(12);
      expect(observer.straggler).toBe(false);
      observer.recordTokenInterval(30);
      expect(observer.straggler).toBe(true);
      observer.recordTokenInterval(5);
      expect(observer.straggler).toBe(false);
    });
  });
});
