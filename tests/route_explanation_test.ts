import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Cli } from "../src/cli/cli.ts";
import type { RouteExplanation } from "../src/request/routed/route_explanation.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";

describe("explain-route", () => {
  let deployment: PlatformDeployment;

  beforeAll(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 4 });
    await deployment.waitUntilServing();
  });
  afterAll(() => deployment.dispose());

  async function runCommand(...args: string[]) {
    const lines: string[] = [];
    const output = { write: (line: string) => void lines.push(line) };
    const cli = new Cli({
      args: [
        "explain-route",
        "--daemon",
        `http://${deployment.metricsAddresses[0]}`,
        "--host",
        "app.example",
        ...args,
      ],
      environment: {},
      output,
      errorOutput: output,
    });
    return { exitCode: await cli.run(), text: lines.join("\n") };
  }

  // Guards against an explanation that sends the request, or that names a group which takes none.
  it("names the group of a model request without sending it", async () => {
    const runCount = deployment.runs.length;
    const { exitCode, text } = await runCommand(
      ...["--path", "/model/1", "--model", "m", "--account", "account-1"],
      "--json",
    );
    const explanation = JSON.parse(text) as RouteExplanation;
    expect(exitCode).toBe(0);
    expect(explanation).toMatchObject({
      daemon: "entry-0",
      route: { name: "model", kind: "stream" },
      targets: [{ service: "models", share: 1, isAdmittedNow: true }],
    });
    const shares = explanation.targets[0].candidates.map(({ share }) => share);
    expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
    expect(deployment.runs.length).toBe(runCount);
  });

  it("prints a table, and says why a request would be refused", async () => {
    const { exitCode, text } = await runCommand("--path", "/look/1");
    expect(exitCode).toBe(1);
    expect(text).toContain("Route look (idempotent)");
    expect(text).toContain("needs an API key");
    expect(text).toMatch(/app +p0 +z1 +0\/\d+ +100% +\d+%/);
  });

  it("rejects a path that is none", async () => {
    const { exitCode, text } = await runCommand("--path", "look");
    expect(exitCode).not.toBe(0);
    expect(text).toContain("path");
  });
});
