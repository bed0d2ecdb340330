import { writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { planDomain } from "../src/process/planner/domain_planner.ts";
import {
  type FormationStrategy,
  PlannerScenario,
  type ScenarioResult,
} from "./planner_scenario.ts";

const COST_ROUNDS = 200;
const FORMATION_STRATEGIES: readonly FormationStrategy[] = [
  "planner",
  "no-spares",
  "re-plan",
];

/** Time that the planner's decisions take for one size of deployment. */
interface DecisionCost {
  readonly servers: number;
  readonly domains: number;
  readonly domainP50Us: number;
  readonly domainP95Us: number;
  /** Time of one assignment and of the plans of all fabric domains. */
  readonly roundP50Ms: number;
  readonly roundP95Ms: number;
}

function measureCost(servers: number): DecisionCost {
  const domainCount = servers / 20;
  const scenario = new PlannerScenario({
    servers,
    groups: Math.floor(servers / 4 * 0.93),
    days: 0,
    seed: 1,
    strategy: "planner",
  });
  scenario.runUntilFormed();
  const domainTimesUs: number[] = [];
  const roundTimesMs: number[] = [];
  for (let round = 0; round < COST_ROUNDS; round++) {
    const roundStartMs = performance.now();
    const assignment = scenario.getAssignment();
    for (const domain of scenario.domains) {
      const startMs = performance.now();
      planDomain(scenario.createInput(domain, assignment));
      domainTimesUs.push((performance.now() - startMs) * 1_000);
    }
    roundTimesMs.push(performance.now() - roundStartMs);
  }
  return {
    servers,
    domains: domainCount,
    domainP50Us: getQuantile(domainTimesUs, 0.5),
    domainP95Us: getQuantile(domainTimesUs, 0.95),
    roundP50Ms: getQuantile(roundTimesMs, 0.5),
    roundP95Ms: getQuantile(roundTimesMs, 0.95),
  };
}

function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const value = sorted[Math.floor((sorted.length - 1) * quantile)];
  return Number(value.toFixed(3));
}

function measureScenarios(options: {
  seed: number;
  groups: readonly number[];
  ways: readonly FormationStrategy[];
}): ScenarioResult[] {
  return options.groups.flatMap((groups) =>
    options.ways.map((strategy) =>
      new PlannerScenario({
        servers: 600,
        groups,
        days: 30,
        seed: options.seed,
        strategy,
      }).run()
    )
  );
}

async function runBench(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("json", {
      type: "string",
      describe: "Output file for the report as JSON",
    })
    .option("seed", { type: "number", default: 1 })
    .option("groups", {
      type: "number",
      array: true,
      default: [120, 140],
      describe: "Wanted number of groups, one simulated month for each value",
    })
    .option("ways", {
      choices: FORMATION_STRATEGIES,
      array: true,
      default: FORMATION_STRATEGIES,
      describe:
        "Group formation strategies to compare: the daemon's planner, the planner without spare VMs, and the re-formation of all groups of a fabric domain at each change",
    })
    .strict()
    .parse();
  // Runs the planner once before the measurement, since code that is not yet compiled is slower.
  measureCost(60);
  const report = {
    seed: args.seed,
    decisionCost: [measureCost(60), measureCost(600)],
    month: measureScenarios(args),
  };
  console.table(report.decisionCost);
  console.table(report.month);
  if (args.json !== undefined) {
    writeFileSync(args.json, `${JSON.stringify(report, null, 2)}\n`);
  }
}

await runBench();
