import process from "node:process";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SoakRunner } from "./soak_runner.ts";

await runMain();

async function runMain(): Promise<void> {
  const options = yargs(hideBin(process.argv))
    .usage(
      "$0 [options]",
      "Runs daemons under load and injects the random faults of each seed",
    )
    .option("first", {
      type: "number",
      default: Date.now() % 1_000_000,
      describe: "First seed; derived from the current time by default",
    })
    .option("seeds", {
      type: "number",
      default: 5,
      describe: "Number of consecutive seeds, one run for each",
    })
    .option("daemons", {
      type: "number",
      default: 5,
      describe: "Number of daemons",
    })
    .option("servers", {
      type: "number",
      default: 8,
      describe: "Number of model servers",
    })
    .option("seconds", {
      type: "number",
      default: 20,
      describe: "Duration of the load for each seed, in seconds",
    })
    .option("directory", {
      type: "string",
      default: "target/soak",
      describe:
        "Directory in which the logs and records of failed seeds are kept",
    })
    .strict()
    .parseSync();
  const { daemons, servers, directory } = options;
  const durationMs = options.seconds * 1_000;
  const size = { daemons, servers, durationMs };
  const program = fileURLToPath(
    new URL("../../platform/main.js", import.meta.url),
  );
  const runner = new SoakRunner({ size, directory, program });
  let failedSeedCount = 0;
  for (let i = 0; i < options.seeds; i++) {
    const result = await runner.run(options.first + i);
    const { seed, violations, callCount, servedCallCount, steps } = result;
    failedSeedCount += violations.length > 0 ? 1 : 0;
    process.stdout.write(
      `seed ${seed}: ${steps.length} actions, ${callCount} calls, ${servedCallCount} served, ${violations.length} violations\n`,
    );
    violations.forEach((text) => process.stdout.write(`  ${text}\n`));
  }
  process.stdout.write(
    `${options.seeds - failedSeedCount} passed, ${failedSeedCount} failed\n`,
  );
  // Exits explicitly, since connections that a fault left half open would keep the process running.
  process.exit(failedSeedCount === 0 ? 0 : 1);
}
