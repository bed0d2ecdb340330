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
/** Margin that the claim registry adds to the expiry of a claim, in milliseconds. */
const EXPIRY_MARGIN_MS = 5_000;
const PAST_EXPIRY_MS = CLAIM_WAIT_MS + SERVICE_TIMEOUT_MS + EXPIRY_MARGIN_MS +
  300;

describe("at most once across daemon processes", () => {
  let deployment: ServiceDeployment;
  let firstDaemon: DaemonProcess;
  let secondAddress: string;

  beforeEach(async () => {
    deployment = await ServiceDeployment.start({ daemons: 1 });
    secondAddress = deployment.daemons[0].callerAddress;
    firstDaemon = await DaemonProcess.start(
      deployment.createSettings("entry-9"),
    );
  });

  afterEach(async () => {
    await firstDaemon.dispose();
    await deployment.dispose();
  });

  // Guards against a second run of a call when its daemon is killed while the service processes it.
  it("does not run a call again after its daemon was killed during the call", async () => {
    deployment.service.faults.delayMs = 200;
    const pendingResponse = deployment.send({
      address: firstDaemon.callerAddress,
      key: KEY,
    })
      .catch(() => undefined);
    await waitUntil(() => deployment.service.runs.length === 1);
    firstDaemon.process.sendSignal("SIGKILL");
    expect(await pendingResponse).toBe(undefined);
    const inProgressResponse = await deployment.send({
      address: secondAddress,
      key: KEY,
    });
    expect(inProgressResponse.code).toBe("claim-in-progress");
    await delay(PAST_EXPIRY_MS);
    const expiredResponse = await deployment.send({
      address: secondAddress,
      key: KEY,
    });
    expect(expiredResponse).toMatchObject({
      status: 409,
      code: "claim-outcome-unknown",
      verdict: "may-have-run",
    });
    expect(deployment.service.runs.length).toBe(1);
    expect(deployment.collectViolations()).toEqual([]);
  });

  // Guards against a `not-run` verdict for an expired claim: the killed daemon may have sent the call before it died.
  it("reports may-have-run for a call whose daemon was killed before dispatch", async () => {
    deployment.platform.faults.delayMs = 300;
    const pendingResponse = deployment.send({
      address: firstDaemon.callerAddress,
      key: KEY,
    })
      .catch(() => undefined);
    await delay(150);
    firstDaemon.process.sendSignal("SIGKILL");
    await pendingResponse;
    deployment.platform.faults.delayMs = 0;
    await waitUntil(() => deployment.platform.getObjects("claim").length === 1);
    await delay(PAST_EXPIRY_MS);
    const expiredResponse = await deployment.send({
      address: secondAddress,
      key: KEY,
    });
    expect(expiredResponse.verdict).toBe("may-have-run");
    expect(deployment.service.runs.length).toBe(0);
  });

  // Guards against a daemon that is paused between claim and dispatch, and sends the call after its claim has expired.
  it("does not send a call whose claim expired while the daemon was paused", async () => {
    deployment.platform.faults.delayMs = 300;
    const pendingResponse = deployment.send({
      address: firstDaemon.callerAddress,
      key: KEY,
    });
    await delay(150);
    firstDaemon.process.sendSignal("SIGSTOP");
    await waitUntil(() => deployment.platform.getObjects("claim").length === 1);
    deployment.platform.faults.delayMs = 0;
    await delay(PAST_EXPIRY_MS);
    const pauseResponse = await deployment.send({
      address: secondAddress,
      key: KEY,
    });
    expect(pauseResponse.verdict).toBe("may-have-run");
    firstDaemon.process.sendSignal("SIGCONT");
    const resumedResponse = await pendingResponse;
    expect(resumedResponse.verdict).toBe("not-run");
    expect(deployment.service.runs.length).toBe(0);
    await waitUntil(() =>
      deployment.platform.getObjects("claim").some((o) =>
        (o.value as { state: string }).state === "released"
      )
    );
    const retryResponse = await deployment.send({
      address: secondAddress,
      key: KEY,
    });
    expect(retryResponse.status).toBe(200);
    expect(deployment.service.runs.length).toBe(1);
    expect(deployment.collectViolations()).toEqual([]);
  });
});
