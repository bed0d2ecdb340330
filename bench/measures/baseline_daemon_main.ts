import { readFile } from "node:fs/promises";
import process from "node:process";
import type { Container } from "inversify";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Admission } from "../../src/process/admission.ts";
import { SERVICES } from "../../src/process/container.ts";
import { Daemon } from "../../src/process/daemon.ts";
import { daemonSettingsSchema } from "../../src/process/daemon_settings.ts";
import { GroupDirectory } from "../../src/process/group_directory.ts";
import { InFlightStreamTable } from "../../src/process/in_flight_streams.ts";
import { LocalAdmission } from "../../src/process/local_admission.ts";

const args = await yargs(hideBin(process.argv))
  .option("settings", { type: "string", demandOption: true })
  .option("print-addresses", { type: "boolean", default: false })
  .strict()
  .parse();
const settings = daemonSettingsSchema.parse(
  JSON.parse(await readFile(args.settings, "utf8")),
);
const daemon = new Daemon(settings, { configureContainer: bindBaselinePolicy });
await daemon.start();
if (args.printAddresses) {
  process.stdout.write(`${JSON.stringify(daemon.getAddresses())}\n`);
}
process.on("SIGTERM", () => void stopDaemon());

async function stopDaemon(): Promise<void> {
  await daemon.stop();
  process.exit(0);
}

/** Binds the baseline policy: a cold group gets as many slots as a warm one, and no stream moves away from a group or zone. The settings and accounts of the benchmark also have byte limits so large that no stream is parked. */
function bindBaselinePolicy(container: Container): void {
  container.rebind(SERVICES.admission).toResolvedValue(
    (directory: GroupDirectory) => createBaselineAdmission(directory),
    [GroupDirectory],
  );
  const table = new InFlightStreamTable();
  table.moveStreamsFromZone = () => undefined;
  table.moveStreamsFromGroup = () => undefined;
  container.rebind(InFlightStreamTable).toConstantValue(table);
}

/** Creates an admission that gives a cold group as many slots as a warm one. */
function createBaselineAdmission(directory: GroupDirectory): Admission {
  const admission = new LocalAdmission(directory);
  return {
    acquire: (request) =>
      admission.acquire({
        ...request,
        model: { ...request.model, coldSlots: request.model.slotsPerGroup },
      }),
  };
}
