import { describe, expect, it } from "vitest";
import { PathChoices, RandomChoices } from "./choice_source.ts";
import type { RuleName } from "./group_checker.ts";
import { type PathResult, PathRunner } from "./path_runner.ts";
import { PathSearch, type SearchReport } from "./path_search.ts";
import { countFaults, PathShrinker } from "./path_shrinker.ts";
import { createPlantedParts, type PlantedFaultName } from "./planted_faults.ts";

/** Steps of a path in which an event may happen. */
const STEPS = 24;
/** Walks that are run with the real parts, and their first seed. */
const WALKS = { seed: 0, count: 300 };
/** Walks within which a search has to find what a planted fault causes. */
const MAX_PLANTED_WALKS = 1_000;

describe("PathSearch", () => {
  describe("runWalks", () => {
    let report: SearchReport | undefined;

    async function doTest(): Promise<readonly RuleName[]> {
      if (report === undefined) {
        const search = new PathSearch({
          runner: new PathRunner({ steps: STEPS }),
        });
        await search.runWalks(WALKS.seed, WALKS.count);
        report = search.getReport();
      }
      return report.finds.map(({ result }) => result.violation!.rule);
    }

    // Guards against orders of events, many of them with late and lost orders, that nobody thought of.
    it.each<RuleName>([
      "partial-group",
      "two-groups",
      "second-holder",
      "not-recovered",
      "task-failed",
      "left-open-group",
    ])(
      "finds no path that breaks the rule %s",
      async (rule) => {
        expect((await doTest()).filter((other) => other === rule)).toEqual([]);
      },
      60_000,
    );

    // Guards against single finds: an unanswered leave (26), an open of the planner before (49), unknown sizes after a takeover (811), a late order in the next life of a server (2059), a size that the configuration changes while the group is formed (2691), a group without a head (1203) and a report that outranks a newer entry (103549).
    it.each<[RuleName, number, number]>([
      ["left-open-group", 4, 26],
      ["left-open-group", 4, 49],
      ["left-open-group", 4, 811],
      ["two-groups", 4, 2_059],
      ["partial-group", 4, 2_691],
      ["task-failed", 3, 1_203],
      ["not-recovered", 3, 103_549],
    ])(
      "holds the rule %s with %i servers in the walk of seed %i",
      async (rule, servers, seed) => {
        const runner = new PathRunner({ steps: STEPS, servers });
        const { violation } = await runWalk(seed, runner);
        expect(violation?.rule).not.toBe(rule);
      },
    );

    // Guards against a search that has lost its ability to find: each guard prevents what a walk brings about without it.
    it.each<[PlantedFaultName, RuleName]>([
      ["unanswered-join", "two-groups"],
      ["endless-lease", "second-holder"],
      ["equal-terms", "second-holder"],
      ["equal-generations", "two-groups"],
      ["unconditional-writes", "second-holder"],
      ["hidden-open", "left-open-group"],
    ])(
      "finds that without the guard %s the rule %s is broken",
      async (name, rule) => {
        const parts = createPlantedParts(name);
        const search = new PathSearch({
          runner: new PathRunner({ steps: STEPS, parts }),
          rule,
          mustStop: ({ finds }) => finds.length > 0,
        });
        await search.runWalks(WALKS.seed, MAX_PLANTED_WALKS);
        const [{ seed }] = search.getReport().finds;
        const real = await runWalk(seed!, new PathRunner({ steps: STEPS }));
        expect(real.violation?.rule).not.toBe(rule);
      },
    );
  });

  describe("runAll", () => {
    // Guards against paths that are left out, or run twice, in an exhaustive search.
    it("runs each path with one fault of an order once", async () => {
      const search = new PathSearch({ runner: new PathRunner({ steps: 1 }) });
      await search.runAll(1, "order");
      const { paths, finds } = search.getReport();
      // One path without a fault, and six fates for each of the orders of its first half second.
      expect({ paths, finds }).toEqual({ paths: 1 + 4 * 6, finds: [] });
    });
  });

  describe("runPath", () => {
    // Guards against a run that depends on anything but its choices, so that finds could not be replayed.
    it("repeats a walk exactly", async () => {
      const runner = new PathRunner({ steps: STEPS });
      const walk = await runWalk(26, runner);
      const replay = await runner.run(new PathChoices(walk.path));
      expect(replay.table).toBe(walk.table);
    });
  });
});

describe("PathShrinker", () => {
  describe("run", () => {
    // Guards against tables that hide the cause among faults that have no part in it.
    it("keeps only the faults that the path needs", async () => {
      const parts = createPlantedParts("unanswered-join");
      const runner = new PathRunner({ steps: STEPS, parts });
      const walk = await runWalk(33, runner);
      const shortest = await new PathShrinker({ runner }).run(walk);
      expect(shortest.violation?.rule).toBe(walk.violation?.rule);
      expect(countFaults(shortest.path)).toBeLessThan(countFaults(walk.path));
    });
  });
});

function runWalk(seed: number, runner: PathRunner): Promise<PathResult> {
  return runner.run(new RandomChoices(seed));
}
