import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FakeService } from "./fake_service.ts";

const args = await yargs(hideBin(process.argv))
  .option("port", { type: "number", default: 0 })
  .strict()
  .parse();
const service = new FakeService();
const address = await service.start(args.port);
process.stdout.write(`${JSON.stringify({ address })}\n`);
process.once("SIGTERM", () => void service.dispose());
