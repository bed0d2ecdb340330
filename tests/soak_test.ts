import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { SoakRunner } from "../bench/soak/soak_runner.ts";

/** Seeds that every run replays: each seed that has failed, with the cause of the failure, and one that has not. */
const SEEDS: readonly (readonly [seed: number, cause: string])[] = [
  [3, "overlapping faults, never failed"],
];

describe("soak", () => {
  it.each(SEEDS)("violates no invariant with seed %i: %s", async (seed) => {
    const directory = await mkdtemp(join(tmpdir(), "tarragontally-soak-"));
    const result = await new SoakRunner({
      size: { daemons: 5, servers: 8, durationMs: 15_000 },
      directory,
      program: "dist/platform/main.js",
    }).run(seed);
    expect(result.violations).toEqual([]);
    expect(result.servedCallCount).toBeGreaterThan(0);
    await rm(directory, { recursive: true, force: true });
  }, 90_000);
});
