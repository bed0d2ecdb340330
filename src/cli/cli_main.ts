#!/usr/bin/env node
import process from "node:process";
import { Cli } from "./cli.ts";
import { StandardOutput } from "./command_context.ts";

const cli = new Cli({
  args: process.argv.slice(2),
  environment: process.env,
  output: new StandardOutput(),
  errorOutput: { write: (line) => process.stderr.write(`${line}\n`) },
});
process.exitCode = await cli.run();
