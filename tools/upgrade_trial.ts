import { mkdir, mkdtemp, readdir, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SoakRunner } from "../bench/soak/soak_runner.ts";
import { getErrorMessage } from "../src/shared/errors.ts";
import { UpgradeDeployment } from "./upgrade_deployment.ts";
import { UPGRADE_VARIABLES } from "./upgrade_variables.ts";

const NEW_BUILD = fileURLToPath(new URL("../", import.meta.url));
const SOAK_SIZE = { servers: 8, durationMs: 20_000 };

const options = await yargs(hideBin(process.argv))
  .usage("$0 [options]", "Runs daemons of two builds side by side")
  .option("old", {
    type: "string",
    demandOption: true,
    describe: "Directory `dist` of the old build",
  })
  .option("seeds", {
    type: "number",
    default: 3,
    describe: "Number of seeds of the fault soak",
  })
  .option("first", {
    type: "number",
    default: 1,
    describe: "First seed of the fault soak",
  })
  .option("daemons", {
    type: "number",
    default: 5,
    describe: "Number of daemons in the fault soak",
  })
  .strict()
  .parse();
const oldBuild = resolve(options.old);
const failures = [
  ...await runOwnPath(),
  ...await runPlatformPath(),
];
failures.forEach((text) => print(`  ${text}`));
print(
  failures.length === 0 ? "both paths passed" : `${failures.length} failures`,
);
// Half-open connections that the injected faults have left would keep the process running.
process.exit(failures.length === 0 ? 0 : 1);

/** Replaces the daemons of a deployment without the users' platform one by one with the other build. */
async function runOwnPath(): Promise<string[]> {
  const deployment = await UpgradeDeployment.start({
    old: oldBuild,
    new: NEW_BUILD,
  });
  try {
    await deployment.run();
    print(deployment.describe());
    return deployment.failures;
  } catch (error) {
    return [...deployment.failures, `own path: ${getErrorMessage(error)}`];
  } finally {
    await deployment.dispose();
  }
}

/** Runs the fault soak on the users' platform, with daemons that alternate between the builds at each restart. */
async function runPlatformPath(): Promise<string[]> {
  const foundViolations: string[] = [];
  const directory = await mkdtemp(join(tmpdir(), "tarragontally-upgrade-"));
  process.env[UPGRADE_VARIABLES.oldBuild] = oldBuild;
  process.env[UPGRADE_VARIABLES.newBuild] = NEW_BUILD;
  const runner = new SoakRunner({
    size: { ...SOAK_SIZE, daemons: options.daemons },
    directory: "target/upgrade",
    program: fileURLToPath(new URL("./upgrade_launcher.js", import.meta.url)),
  });
  for (let i = 0; i < options.seeds; i++) {
    const seed = options.first + i;
    const startsDirectory = join(directory, `seed-${seed}`);
    await mkdir(startsDirectory);
    process.env[UPGRADE_VARIABLES.directory] = startsDirectory;
    const { violations, callCount, servedCallCount } = await runner.run(seed);
    print(
      `platform's path, seed ${seed}: ${await formatStartCounts(
        startsDirectory,
      )}, ${callCount} calls, ${servedCallCount} served, ${violations.length} violations`,
    );
    foundViolations.push(...violations.map((text) => `seed ${seed}: ${text}`));
  }
  await rm(directory, { recursive: true, force: true });
  return foundViolations;
}

/** Formats the number of starts of each build and the number of daemons that ran both. */
async function formatStartCounts(directory: string): Promise<string> {
  const { oldBuild: oldBuildVariable } = UPGRADE_VARIABLES;
  const files = await readdir(directory);
  const buildsByDaemon = await Promise.all(files.map(async (file) => {
    const text = await readFile(join(directory, file), "utf8");
    return text.trim().split("\n");
  }));
  const allBuilds = buildsByDaemon.flat();
  const oldStarts =
    allBuilds.filter((build) => build === oldBuildVariable).length;
  const daemonsWithBothBuilds =
    buildsByDaemon.filter((builds) => new Set(builds).size > 1).length;
  return `${oldStarts} starts of the old build, ${
    allBuilds.length - oldStarts
  } of the new one, ${daemonsWithBothBuilds} daemons ran both`;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
