import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import { TestDeployment } from "./support/test_deployment.ts";

describe("whole path", () => {
  let deployment: TestDeployment;

  beforeAll(async () => {
    deployment = await TestDeployment.start();
  });

  afterAll(async () => {
    await deployment.dispose();
  });

  // Guards against responses that are truncated or mixed up between the engine and the caller.
  it("answers a chat with the whole text", async () => {
    const content = "tokens=40 gearbox";
    const response = await deployment.requestChat(
      deployment.daemons[0],
      content,
    );
    const body = JSON.parse(response.body);
    expect(response.statusCode).toBe(200);
    expect(body.choices[0].message.content).toBe(
      getExpectedTokens([{ role: "user", content }], 512).join(""),
    );
  });

  // Guards against a service call that the daemon does not forward to the backend server.
  it("passes a call on to a plain service", async () => {
    const response = await deployment.callService(
      deployment.daemons[1],
      "/visits",
      { key: "visit-1", body: "hotel" },
    );
    expect(response.statusCode).toBe(200);
    expect(deployment.service.getRunCount("visit-1")).toBe(1);
  });
});
