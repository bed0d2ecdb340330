import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { ServiceDeployment } from "./support/service_deployment.ts";
import { TEST_API_KEY, waitUntil } from "./support/test_deployment.ts";

const SLOW_MS = 250;

describe("stop of the caller port", () => {
  let deployment: ServiceDeployment;

  beforeEach(async () => {
    deployment = await ServiceDeployment.start({
      settings: { balancerLagMs: 100 },
    });
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  // Guards against a keep-alive connection that is reset while a request is in transit.
  it("refuses a request on a keep-alive connection with the verdict not-run", async () => {
    const daemon = deployment.daemons[0];
    const [host, port] = daemon.callerAddress.split(":");
    const socket = connect({ host, port: Number(port) });
    let text = "";
    let isClosed = false;
    socket.on("data", (chunk) => text += String(chunk));
    socket.on("close", () => isClosed = true);
    socket.write(createGet("/v1/models"));
    await waitUntil(() => text.includes("200 OK"));
    deployment.service.faults.delayMs = SLOW_MS;
    const inFlightResponse = deployment.send({
      address: daemon.callerAddress,
      key: "visit-1",
    });
    await waitUntil(() => deployment.service.runs.length === 1);
    const stopPromise = daemon.stop();
    await delay(150);
    expect(isClosed).toBe(false);
    text = "";
    socket.write(createGet("/services/bookings/jobs"));
    await waitUntil(() => isClosed);
    expect(text).toContain("HTTP/1.1 503 ");
    expect(text.toLowerCase()).toContain("connection: close");
    expect(JSON.parse(text.split("\r\n\r\n")[1]).error).toMatchObject({
      code: "shutting-down",
      verdict: "not-run",
      retryAfterMs: 100,
    });
    expect((await inFlightResponse).status).toBe(200);
    await stopPromise;
    const retryResponse = await deployment.send({
      address: deployment.daemons[1].callerAddress,
      key: "visit-1",
    });
    expect(retryResponse.status).toBe(200);
    expect(deployment.service.runs.length).toBe(1);
  });
});

function createGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n` +
    `authorization: Bearer ${TEST_API_KEY}\r\n\r\n`;
}
