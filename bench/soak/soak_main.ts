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
      "Injects random faults into daemons, one run per seed",
    )
    .option("first", {
      type: "number",
      default: Date.now() % 1_000_000,
      describe: "First seed; derived from the time by default",
    })
    .option("seeds", {
      type: "number",
      default: 5,
      describe: "Number of seeds",
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
      describe: "Duration of the load of each seed in seconds",
    })
    .option("directory", {
      type: "string",
      default: "target/soak",
      describe: "Directory that keeps the logs of failed seeds",
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
  let failed = 0;
  for (let i = 0; i < options.seeds; i++) {
    const result = await runner.run(options.first + i);
    const { seed, violations, calls, served, steps } = result;
    failed += violations.length > 0 ? 1 : 0;
    process.stdout.write(
      `seed ${seed}: ${steps.length} actions, ${calls} calls, ${served} served, ${violations.length} violations\n`,
    );
    violations.forEach((text) => process.stdout.write(`  ${text}\n`));
  }
  process.stdout.write(`${options.seeds - failed} passed, ${failed} failed\n`);
  // Connections that a fault left half open would keep the process running.
  process.exit(failed === 0 ? 0 : 1);
}
