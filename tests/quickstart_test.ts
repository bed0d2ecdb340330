import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { describe, expect, it } from "vitest";

const QUICKSTART_TIMEOUT_MS = 60_000;

describe("quickstart", () => {
  // Guards against failures on the path from caller to backend server that show only when each component is a process of its own.
  it("completes a model request and a booking with --once", async () => {
    const { stdout } = await promisify(execFile)(
      process.execPath,
      ["dist/tools/quickstart.js", "--once"],
      { timeout: QUICKSTART_TIMEOUT_MS },
    ).catch((error: { stdout: string }) => error);
    expect(stdout).toContain("Both responses are correct.");
  }, QUICKSTART_TIMEOUT_MS);
});
