import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FakeEngine } from "./fake_engine.ts";

const args = await yargs(hideBin(process.argv))
  .option("names", { type: "string", demandOption: true })
  .option("platform-url", { type: "string" })
  .option("token-interval-ms", { type: "number", default: 20 })
  .option("tokens-per-interval", { type: "number", default: 1 })
  .option("max-running", { type: "number", default: 64 })
  .option("cold-requests", { type: "number", default: 2 })
  .option("warm-after-requests", { type: "number", default: 8 })
  .option("member-check-ms", { type: "number", default: 100 })
  .option("honours-fencing", { type: "boolean", default: true })
  .strict()
  .parse();
const engines = args.names.split(",").map((name) =>
  new FakeEngine({
    name,
    platformUrl: args.platformUrl,
    tokenIntervalMs: args.tokenIntervalMs,
    tokensPerInterval: args.tokensPerInterval,
    maxRunning: args.maxRunning,
    coldRequests: args.coldRequests,
    warmAfterRequests: args.warmAfterRequests,
    honoursFencing: args.honoursFencing,
    memberCheckMs: args.memberCheckMs,
  })
);
const addresses: Record<string, string> = {};
for (const engine of engines) {
  addresses[engine.name] = await engine.start();
}
process.stdout.write(`${JSON.stringify({ addresses })}\n`);
process.once("SIGTERM", () => {
  engines.forEach((engine) => void engine.dispose());
});
