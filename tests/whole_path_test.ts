import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import { TestDeployment } from "./support/test_deployment.ts";

describe("path from caller to backend server", () => {
  let deployment: TestDeployment;

  beforeAll(async () => {
    deployment = await TestDeployment.start();
  });

  afterAll(async () => {
    await deployment.dispose();
  });

  // Guards against responses that are truncated or mixed up between the engine and the caller.
  it("returns the whole text of a chat completion", async () => {
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
  it("forwards a call to a service", async () => {
    const response = await deployment.callService(
      deployment.daemons[1],
      "/visits",
      { key: "visit-1", body: "hotel" },
    );
    expect(response.statusCode).toBe(200);
    expect(deployment.service.getRunCount("visit-1")).toBe(1);
  });
});
