import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { DaemonProcess } from "./support/daemon_process.ts";
import {
  CLAIM_WAIT_MS,
  SERVICE_TIMEOUT_MS,
  ServiceDeployment,
} from "./support/service_deployment.ts";
import { waitUntil } from "./support/test_deployment.ts";

const KEY = "visit-1";
const EXPIRY_MARGIN_MS = 5_000;
const PAST_EXPIRY_MS = CLAIM_WAIT_MS + SERVICE_TIMEOUT_MS + EXPIRY_MARGIN_MS +
  300;

describe("at most once over processes", () => {
  let deployment: ServiceDeployment;
  let first: DaemonProcess;
  let second: string;

  beforeEach(async () => {
    deployment = await ServiceDeployment.start({ daemons: 1 });
    second = deployment.daemons[0].callerAddress;
    first = await DaemonProcess.start(deployment.createSettings("entry-9"));
  });

  afterEach(async () => {
    await first.dispose();
    await deployment.dispose();
  });

  // Guards against a second run of a call whose daemon died while the service ran it.
  it("does not run a call again whose daemon was killed after dispatch", async () => {
    deployment.service.faults.delayMs = 200;
    const sending = deployment.send({ address: first.callerAddress, key: KEY })
      .catch(() => undefined);
    await waitUntil(() => deployment.service.runs.length === 1);
    first.process.sendSignal("SIGKILL");
    expect(await sending).toBe(undefined);
    const running = await deployment.send({ address: second, key: KEY });
    expect(running.code).toBe("claim-in-progress");
    await delay(PAST_EXPIRY_MS);
    const expired = await deployment.send({ address: second, key: KEY });
    expect(expired).toMatchObject({
      status: 409,
      code: "claim-outcome-unknown",
      verdict: "may-have-run",
    });
    expect(deployment.service.runs.length).toBe(1);
    expect(deployment.collectBrokenPromises()).toEqual([]);
  });

  // Guards against a `not-run` verdict without proof: the dead daemon may have sent the call.
  it("reports a call as may-have-run whose daemon was killed before dispatch", async () => {
    deployment.platform.faults.delayMs = 300;
    const sending = deployment.send({ address: first.callerAddress, key: KEY })
      .catch(() => undefined);
    await delay(150);
    first.process.sendSignal("SIGKILL");
    await sending;
    deployment.platform.faults.delayMs = 0;
    await waitUntil(() => deployment.platform.getObjects("claim").length === 1);
    await delay(PAST_EXPIRY_MS);
    const expired = await deployment.send({ address: second, key: KEY });
    expect(expired.verdict).toBe("may-have-run");
    expect(deployment.service.runs.length).toBe(0);
  });

  // Guards against a late dispatch by a daemon that was paused between claim and dispatch.
  it("does not send a call whose claim expired while the daemon was paused", async () => {
    deployment.platform.faults.delayMs = 300;
    const sending = deployment.send({ address: first.callerAddress, key: KEY });
    await delay(150);
    first.process.sendSignal("SIGSTOP");
    await waitUntil(() => deployment.platform.getObjects("claim").length === 1);
    deployment.platform.faults.delayMs = 0;
    await delay(PAST_EXPIRY_MS);
    const during = await deployment.send({ address: second, key: KEY });
    expect(during.verdict).toBe("may-have-run");
    first.process.sendSignal("SIGCONT");
    const resumed = await sending;
    expect(resumed.verdict).toBe("not-run");
    expect(deployment.service.runs.length).toBe(0);
    await waitUntil(() =>
      deployment.platform.getObjects("claim").some((o) =>
        (o.value as { state: string }).state === "released"
      )
    );
    const again = await deployment.send({ address: second, key: KEY });
    expect(again.status).toBe(200);
    expect(deployment.service.runs.length).toBe(1);
    expect(deployment.collectBrokenPromises()).toEqual([]);
  });
});
