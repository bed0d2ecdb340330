import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FakePlatform } from "./fake_platform.ts";

const args = await yargs(hideBin(process.argv))
  .option("port", { type: "number", default: 0 })
  .option("weight-fetch-ms", { type: "number", default: 50 })
  .strict()
  .parse();
const platform = new FakePlatform();
platform.weightFetchMs = args.weightFetchMs;
await platform.start(args.port);
process.stdout.write(`${JSON.stringify({ url: platform.url })}\n`);
process.once("SIGTERM", () => void platform.dispose());
