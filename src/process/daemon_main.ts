#!/usr/bin/env node
import { readFile } from "node:fs/promises";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { getErrorMessage } from "../shared/errors.ts";
import { parseJsonDocument } from "../version/json_document.ts";
import { Daemon } from "./daemon.ts";
import {
  type DaemonSettings,
  daemonSettingsSchema,
} from "./daemon_settings.ts";

const EXIT_INVALID_SETTINGS = 2;
const EXIT_START_FAILED = 3;

await runMain();

async function runMain(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName("tarragontallyd")
    .usage("$0 --settings FILE")
    .option("settings", {
      type: "string",
      demandOption: true,
      describe: "Settings file in JSON with comments",
    })
    .option("print-addresses", {
      type: "boolean",
      default: false,
      describe: "Prints the addresses of the listeners as one line of JSON",
    })
    .strict()
    .parse();
  const settings = await readSettings(args.settings);
  if (settings === undefined) {
    process.exitCode = EXIT_INVALID_SETTINGS;
    return;
  }
  const daemon = new Daemon(settings);
  try {
    await daemon.start();
  } catch (error) {
    process.stderr.write(
      `tarragontallyd cannot start: ${getErrorMessage(error)}\n`,
    );
    process.exitCode = EXIT_START_FAILED;
    await daemon.dispose();
    return;
  }
  if (args.printAddresses) {
    process.stdout.write(`${JSON.stringify(daemon.getAddresses())}\n`);
  }
  // The handlers stay registered, since the default action of a second signal would kill the process and abort the requests in flight.
  const stop = () => void stopDaemon(daemon);
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

async function stopDaemon(daemon: Daemon): Promise<void> {
  await daemon.stop();
  process.exit(0);
}

async function readSettings(
  file: string,
): Promise<DaemonSettings | undefined> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    process.stderr.write(
      `The settings file "${file}" cannot be read: ${getErrorMessage(error)}\n`,
    );
    return undefined;
  }
  return parseJsonDocument(text, daemonSettingsSchema).caseOf({
    Left: (faults) => {
      for (const fault of faults) {
        process.stderr.write(
          `${file}:${fault.line}:${fault.column}: ${fault.path}: ${fault.message}\n`,
        );
      }
      return undefined;
    },
    Right: (settings): DaemonSettings | undefined => settings,
  });
}
