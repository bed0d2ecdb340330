import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { CHOICE_KINDS, type ChoicePath } from "./choice_source.ts";
import { DaemonParts } from "./daemon_parts.ts";
import { PathRunner } from "./path_runner.ts";
import { PathSearch, type SearchReport } from "./path_search.ts";
import { PathShrinker } from "./path_shrinker.ts";
import { createPlantedParts, PLANTED_FAULT_NAMES } from "./planted_faults.ts";

/** Time between two lines of progress, in milliseconds. */
const PROGRESS_INTERVAL_MS = 5_000;
const MS_PER_SECOND = 1_000;
/** Clock of the runtime, which the paths replace. */
const { now: getDateMs } = Date;

await runMain();

async function runMain(): Promise<void> {
  const options = yargs(hideBin(process.argv))
    .usage(
      "$0 [options]",
      "Runs the planner of the groups through orders of events on a paused clock, with stand-ins of servers and store in memory, and checks rules after each event",
    )
    .option("seed", {
      type: "number",
      default: getDateMs() % 1_000_000,
      describe:
        "Seed of the first walk; derived from the current time by default",
    })
    .option("walks", {
      type: "number",
      default: 2_000,
      describe: "Number of random walks, with consecutive seeds",
    })
    .option("depth", {
      type: "number",
      default: 24,
      describe: "Number of steps of half a second in which an event may happen",
    })
    .option("faults", {
      type: "number",
      describe:
        "Runs all paths with at most this number of faults in place of walks",
    })
    .option("only", {
      choices: CHOICE_KINDS,
      describe: "Limits the faults of --faults to those of orders or to events",
    })
    .option("path", {
      type: "string",
      describe: "Replays the choices of a path, as they are printed for a find",
    })
    .option("daemons", {
      type: "number",
      default: 2,
      describe: "Number of daemons",
    })
    .option("servers", {
      type: "number",
      default: 4,
      describe: "Number of servers",
    })
    .option("finds", {
      type: "number",
      default: 1,
      describe:
        "Number of paths that break a rule to shrink and print for each rule",
    })
    .option("plant", {
      choices: PLANTED_FAULT_NAMES,
      describe: "Takes a guard out of the planner, and stops at the first find",
    })
    .option("rule", {
      type: "string",
      describe: "Considers only paths that break this rule",
    })
    .strict()
    .parseSync();
  const { plant, rule } = options;
  const parts = plant === undefined
    ? new DaemonParts()
    : createPlantedParts(plant);
  const { depth, daemons, servers } = options;
  const runner = new PathRunner({ steps: depth, daemons, servers, parts });
  const startedAtMs = getDateMs();
  let progressAtMs = startedAtMs;
  const search = new PathSearch({
    runner,
    rule,
    onPath: (report) => {
      if (getDateMs() - progressAtMs >= PROGRESS_INTERVAL_MS) {
        progressAtMs = getDateMs();
        process.stderr.write(`${describeReport(report, startedAtMs)}\n`);
      }
    },
    mustStop: ({ finds }) => plant !== undefined && finds.length > 0,
  });
  if (options.path !== undefined) {
    await search.runPath(JSON.parse(options.path));
  } else if (options.faults === undefined) {
    await search.runWalks(options.seed, options.walks);
  } else {
    await search.runAll(options.faults, options.only);
  }
  const report = search.getReport();
  process.stdout.write(`${describeReport(report, startedAtMs)}\n`);
  await printFinds(report, runner, options.finds);
  process.exitCode = report.finds.length === 0 ? 0 : 1;
}

/** Prints the shrunk paths, and the seeds of all finds. */
async function printFinds(
  { finds }: SearchReport,
  runner: PathRunner,
  printedCount: number,
): Promise<void> {
  const rules = new Set(finds.map(({ result }) => result.violation!.rule));
  for (const rule of rules) {
    const ruleFinds = finds.filter(({ result }) =>
      result.violation!.rule === rule
    );
    process.stdout.write(
      `\n${rule}: ${ruleFinds.length} paths, seeds ${
        ruleFinds.map(({ seed, result }) => seed ?? describeFaults(result.path))
          .join(" ")
      }\n`,
    );
    for (const { seed, result } of ruleFinds.slice(0, printedCount)) {
      const shortest = await new PathShrinker({ runner }).run(result);
      process.stdout.write(
        `\nseed ${seed ?? "-"}, shrunk to ${
          JSON.stringify(shortest.path)
        }\n${shortest.table}\n`,
      );
    }
  }
}

/** Describes the choices of a path that are faults, as kind, number of the choice and option. */
function describeFaults(path: ChoicePath): string {
  return CHOICE_KINDS.flatMap((kind) =>
    path[kind].flatMap((choice, index) =>
      choice === 0 ? [] : [`${kind}${index}=${choice}`]
    )
  ).join("+");
}

function describeReport(report: SearchReport, startedAtMs: number): string {
  const seconds = (getDateMs() - startedAtMs) / MS_PER_SECOND;
  const { paths, steps, states, merged, finds, maxRecoveryMs } = report;
  return `${paths} paths, ${steps} steps, ${states} visible states, ${merged} paths merged, ${finds.length} finds, longest recovery ${
    maxRecoveryMs / MS_PER_SECOND
  } s, in ${seconds.toFixed(1)} s`;
}
