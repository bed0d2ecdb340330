import process from "node:process";
import got from "got";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import { delay } from "../src/shared/delay.ts";
import { getErrorMessage } from "../src/shared/errors.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import {
  getStreamedText,
  type LocalDaemon,
  LocalDeployment,
} from "./local_deployment.ts";

const API_KEY = "quickstart-key";
const MODEL = "crank-doctor";
/** Time for which a refused chat is retried, in milliseconds. */
const RETRY_TIMEOUT_MS = 30_000;
const RETRY_DELAY_MS = 500;
const ENGINES_PER_ZONE = 4;
const ZONES = ["zone-a", "zone-b"];
const MESSAGES = [
  { role: "user" as const, content: "The gearbox of the awning grinds." },
];

const lifeCycle = new LifeCycleManager();
const args = await yargs(hideBin(process.argv))
  .option("once", {
    type: "boolean",
    default: false,
    describe: "Exits after both responses have been checked",
  })
  .strict()
  .parse();
const stopSignal = new Promise<void>((resolve) => {
  process.once("SIGINT", () => resolve());
  process.once("SIGTERM", () => resolve());
});
try {
  await runQuickstart(args.once);
} catch (error) {
  print(`The quickstart failed: ${getErrorMessage(error)}`);
  process.exitCode = 1;
} finally {
  await lifeCycle.dispose();
}

async function runQuickstart(once: boolean): Promise<void> {
  print("Starting the fakes: platform, 8 model engines, booking service ...");
  const deployment = lifeCycle.add(
    await LocalDeployment.start({
      zones: ZONES,
      enginesPerZone: ENGINES_PER_ZONE,
    }),
  );
  print("Starting two daemons ...");
  const daemons: LocalDaemon[] = [];
  for (const [index, zone] of ZONES.entries()) {
    const name = `entry-${index + 1}`;
    daemons.push(
      await deployment.startDaemon({ name, zone, balancerLagMs: 100 }),
    );
  }
  await deployment.publishVms(daemons);
  await deployment.writeConfig({
    model: MODEL,
    groupSizeVms: ENGINES_PER_ZONE,
    slotsPerGroup: 32,
    account: "quickstart",
    apiKey: API_KEY,
  });
  await deployment.waitUntilGroupsServe(daemons[0]);
  print(`${ZONES.length} complete groups are serving.`);
  await Promise.all(daemons.map((d) => deployment.waitUntilReady(d)));
  await checkModelResponse(daemons[0]);
  await checkBooking(daemons[1]);
  print("\nBoth responses are correct.");
  if (once) {
    return;
  }
  const { caller, operator } = daemons[0].addresses;
  print(`Callers:   http://${caller}/v1  (API key ${API_KEY})`);
  print(`Operators: http://${operator}/`);
  print(
    `Tool:      node dist/src/cli/cli_main.js status --daemon http://${operator}`,
  );
  print("Press Ctrl-C to stop.");
  await stopSignal;
}

async function checkModelResponse(daemon: LocalDaemon): Promise<void> {
  print(`\nSending a chat to model "${MODEL}" through entry-1:`);
  const text = await requestWithRetries(daemon);
  if (getStreamedText(text) !== getExpectedTokens(MESSAGES, 512).join("")) {
    throw new Error(`The model returned an unexpected response: ${text}`);
  }
}

/** Sends a chat, with retries while it is refused with the verdict "not-run", after which a retry is safe. */
async function requestWithRetries(daemon: LocalDaemon): Promise<string> {
  const timeoutAtMs = performance.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    const text = await requestAndPrintStream(daemon);
    const isRefused = text.includes('"verdict":"not-run"');
    if (!isRefused || performance.now() > timeoutAtMs) {
      return text;
    }
    await delay(RETRY_DELAY_MS);
  }
}

/** Sends a chat with a streamed response, prints the tokens as they arrive, and returns the raw event stream. */
async function requestAndPrintStream(daemon: LocalDaemon): Promise<string> {
  const stream = got.stream.post(
    `http://${daemon.addresses.caller}/v1/chat/completions`,
    {
      json: { model: MODEL, messages: MESSAGES, stream: true },
      headers: { authorization: `Bearer ${API_KEY}` },
      throwHttpErrors: false,
      retry: { limit: 0 },
    },
  );
  let text = "";
  for await (const data of stream) {
    text += String(data);
    process.stdout.write(getStreamedText(String(data)));
  }
  print("");
  return text;
}

async function checkBooking(daemon: LocalDaemon): Promise<void> {
  print('\nBooking a visit through entry-2 with Idempotency-Key "visit-1":');
  const response = await got.post(
    `http://${daemon.addresses.caller}/services/bookings/visits`,
    {
      json: { hotel: "Pamplemousses", day: "monday" },
      headers: {
        authorization: `Bearer ${API_KEY}`,
        "idempotency-key": "visit-1",
      },
    },
  ).json<{ run: number; echo: string }>();
  print(JSON.stringify(response));
  if (response.run !== 1 || !response.echo.includes("Pamplemousses")) {
    throw new Error("The booking service returned an unexpected response");
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
