import { appendFileSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import process from "node:process";
import { pathToFileURL } from "node:url";
import { SETTINGS_VARIABLE } from "../fakes/platform_documents.ts";
import { UPGRADE_VARIABLES } from "./upgrade_variables.ts";

await startDaemon();

/** Runs the daemon of one build. Successive starts of the same daemon alternate between the builds. */
async function startDaemon(): Promise<void> {
  const { oldBuild, newBuild, directory } = UPGRADE_VARIABLES;
  const daemon = basename(process.env[SETTINGS_VARIABLE]!, ".json");
  const startsFile = join(process.env[directory]!, `${daemon}.starts`);
  const startCount = countLines(startsFile);
  const index = Number(daemon.split("-").at(-1));
  const build = (index + startCount) % 2 === 0 ? oldBuild : newBuild;
  appendFileSync(startsFile, `${build}\n`);
  const program = join(process.env[build]!, "platform/main.js");
  await import(pathToFileURL(program).href);
}

function countLines(file: string): number {
  try {
    return readFileSync(file, "utf8").split("\n").length - 1;
  } catch {
    return 0;
  }
}
