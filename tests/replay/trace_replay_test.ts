import { readFileSync } from "node:fs";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { DisabledMechanism } from "./replay_daemon.ts";
import { type ExpectedOutcomes, parseExpected, parseTrace } from "./trace.ts";
import { type ReplayResult, TraceReplayer } from "./trace_replayer.ts";

const DIRECTORY = "tests/traces";

describe("recorded traces", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function runTrace(
    name: string,
    disabledMechanism?: DisabledMechanism,
  ): Promise<ReplayResult> {
    const text = readFileSync(`${DIRECTORY}/${name}.jsonl`, "utf8");
    const replayer = new TraceReplayer(parseTrace(text), {
      disabledMechanism,
      advance: (ms) => vi.advanceTimersByTimeAsync(ms),
    });
    return await replayer.run();
  }

  function readExpected(name: string): ExpectedOutcomes {
    const path = `${DIRECTORY}/${name}.expected.json`;
    return parseExpected(readFileSync(path, "utf8"));
  }

  /** Lists the requests whose outcome, end or number of attempts is not as expected, and those without an expected outcome. */
  function listDeviations(
    result: ReplayResult,
    expected: ExpectedOutcomes,
  ): string[] {
    const unexpectedRequests = [...result.requests.keys()]
      .filter((id) => expected.requests[id] === undefined)
      .map((id) => `${id}: no expected outcome`);
    const deviations = Object.entries(expected.requests)
      .flatMap(([id, bounds]) => {
        const actual = result.requests.get(id);
        const matches = actual !== undefined &&
          bounds.outcomes.includes(actual.outcome) &&
          actual.endMs <= bounds.latestEndMs &&
          actual.attempts <= bounds.mostAttempts;
        return matches ? [] : [`${id}: ${JSON.stringify(actual)}`];
      });
    return [...unexpectedRequests, ...deviations];
  }

  /** Checks that the load and the faults of the trace took place. */
  function checkTotals(result: ReplayResult, expected: ExpectedOutcomes): void {
    for (const bounds of expected.zoneAttempts) {
      const attempts = result.attempts.filter((a) =>
        a.zone === bounds.zone && a.atMs >= bounds.fromMs &&
        a.atMs < bounds.untilMs
      ).length;
      expect(attempts).toBeGreaterThanOrEqual(bounds.least);
      expect(attempts).toBeLessThanOrEqual(bounds.most ?? Infinity);
    }
    const resumedCount = [...result.requests.values()]
      .filter((r) => r.outcome === "finished" && r.attempts > 1).length;
    expect(resumedCount).toBeGreaterThanOrEqual(expected.leastResumed);
    const crashes = [...result.crashesByFingerprint.values()]
      .reduce((sum, count) => sum + count, 0);
    expect(crashes).toBeGreaterThanOrEqual(expected.crashes.least);
    expect(crashes).toBeLessThanOrEqual(expected.crashes.most);
  }

  // Guards against lost, late or repeated requests and broken invariants while a zone is taken out and brought back (Crank Works), and while a group member is lost and a request crashes its groups (Baleworks).
  it.each(["crank_works", "baleworks"])(
    "ends every request as expected in %s",
    async (name) => {
      const result = await runTrace(name);
      checkTotals(result, readExpected(name));
      expect([...result.violations]).toEqual([]);
      expect(listDeviations(result, readExpected(name))).toEqual([]);
    },
    60_000,
  );

  const disablingCases: {
    name: string;
    disabledMechanism: DisabledMechanism;
    violation: string;
  }[] = [
    {
      name: "crank_works",
      disabledMechanism: "shared-admission",
      violation: "cold group over its warm-up limit",
    },
    {
      name: "crank_works",
      disabledMechanism: "zone-policy",
      violation: "new work in a zone taken out",
    },
    {
      name: "baleworks",
      disabledMechanism: "quarantine",
      violation: "more than two groups lost to a request",
    },
  ];

  // Guards against traces that still pass when a mechanism is disabled.
  it.each(disablingCases)(
    "breaks an invariant of $name without $disabledMechanism",
    async ({ name, disabledMechanism, violation }) => {
      const result = await runTrace(name, disabledMechanism);
      expect([...result.violations.keys()]).toContain(violation);
    },
    60_000,
  );
});
