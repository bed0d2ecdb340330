import { Buffer } from "node:buffer";
import { createHistogram } from "node:perf_hooks";
import { Agent, request as sendRequest } from "node:http";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { delay } from "../src/shared/delay.ts";

const TOKEN_PATTERN = Buffer.from('"content":');
const WARM_UP_MS = 2_000;
const STREAM_END_MARKER = "data: [DONE]";

/** Outcome of one request of the load generator. */
interface StreamOutcome {
  readonly status: number;
  readonly tokens: number;
  /** Time to the first token in milliseconds. */
  readonly firstTokenMs: number;
  readonly isComplete: boolean;
}

/** Report that the load generator prints as JSON. */
export interface LoadReport {
  readonly requests: number;
  /** Number of responses with a status other than 200, an unexpected number of tokens or no end marker. */
  readonly failed: number;
  readonly tokensPerSecond: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly firstTokenP99Ms: number;
  /** Time to the first token of each request in milliseconds, so that quantiles can be computed over several runs. */
  readonly firstTokensMs: readonly number[];
}

const args = await yargs(hideBin(process.argv))
  .option("targets", { type: "string", demandOption: true })
  .option("api-key", { type: "string", default: "" })
  .option("model", { type: "string", demandOption: true })
  .option("mode", { choices: ["streams", "rate"] as const, demandOption: true })
  .option("streams", { type: "number", default: 100 })
  .option("rate", { type: "number", default: 100 })
  .option("tokens", { type: "number", default: 1_000 })
  .option("seconds", { type: "number", default: 8 })
  .strict()
  .parse();
const targets = args.targets.split(",");
const agent = new Agent({ keepAlive: true, maxFreeSockets: 512 });
let sentRequests = 0;
let receivedTokens = 0;

const report = args.mode === "streams" ? await runStreams() : await runRate();
process.stdout.write(`${JSON.stringify(report)}\n`);
agent.destroy();

async function runStreams(): Promise<LoadReport> {
  const outcomes: StreamOutcome[] = [];
  const endAtMs = performance.now() + WARM_UP_MS + args.seconds * 1_000;
  const workers = Array.from({ length: args.streams }, async () => {
    while (performance.now() < endAtMs) {
      outcomes.push(await requestStream());
    }
  });
  await delay(WARM_UP_MS);
  const startTokens = receivedTokens;
  const startAtMs = performance.now();
  await delay(args.seconds * 1_000);
  const tokens = receivedTokens - startTokens;
  const seconds = (performance.now() - startAtMs) / 1_000;
  await Promise.all(workers);
  return createReport(outcomes, tokens / seconds);
}

async function runRate(): Promise<LoadReport> {
  const outcomes: StreamOutcome[] = [];
  const pendingRequests: Promise<void>[] = [];
  const warmUpRequests = Math.ceil(args.rate * WARM_UP_MS / 1_000);
  const totalRequests = warmUpRequests + args.rate * args.seconds;
  const startAtMs = performance.now();
  for (let index = 0; index < totalRequests; index++) {
    // Sends each request at a random time within its interval, so that requests are not synchronised with the engines' token intervals.
    const randomizedIndex = index + Math.random();
    const waitMs = startAtMs + randomizedIndex * 1_000 / args.rate -
      performance.now();
    if (waitMs > 0) {
      await delay(waitMs);
    }
    pendingRequests.push(
      requestStream().then((outcome) => {
        if (index >= warmUpRequests) {
          outcomes.push(outcome);
        }
      }),
    );
  }
  await Promise.all(pendingRequests);
  const seconds = (performance.now() - startAtMs) / 1_000;
  return createReport(outcomes, receivedTokens / seconds);
}

function createReport(
  outcomes: readonly StreamOutcome[],
  tokensPerSecond: number,
): LoadReport {
  const histogram = createHistogram();
  for (const outcome of outcomes) {
    histogram.record(Math.max(1, Math.round(outcome.firstTokenMs * 1_000)));
  }
  return {
    requests: outcomes.length,
    failed:
      outcomes.filter((o) =>
        o.status !== 200 || o.tokens !== args.tokens || !o.isComplete
      ).length,
    tokensPerSecond: Math.round(tokensPerSecond),
    firstTokenP50Ms: histogram.percentile(50) / 1_000,
    firstTokenP95Ms: histogram.percentile(95) / 1_000,
    firstTokenP99Ms: histogram.percentile(99) / 1_000,
    firstTokensMs: outcomes.map((o) => Number(o.firstTokenMs.toFixed(3))),
  };
}

function requestStream(): Promise<StreamOutcome> {
  const target = targets[sentRequests % targets.length];
  const content = `tokens=${args.tokens} bench ${sentRequests++}`;
  const body = JSON.stringify({
    model: args.model,
    messages: [{ role: "user", content }],
    max_tokens: args.tokens,
    stream: true,
  });
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    let tokens = 0;
    let firstTokenMs = 0;
    let tail = "";
    const finish = (status: number) =>
      resolve({
        status,
        tokens,
        firstTokenMs,
        isComplete: tail.includes(STREAM_END_MARKER),
      });
    const req = sendRequest(`http://${target}/v1/chat/completions`, {
      method: "POST",
      agent,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        authorization: `Bearer ${args.apiKey}`,
      },
    }, (res) => {
      res.on("data", (data: Buffer) => {
        const chunkTokens = countTokens(data);
        if (tokens === 0 && chunkTokens > 0) {
          firstTokenMs = performance.now() - startedAtMs;
        }
        tokens += chunkTokens;
        receivedTokens += chunkTokens;
        tail = data.subarray(-64).toString("latin1");
      });
      res.on("error", () => finish(0));
      res.on("end", () => finish(res.statusCode ?? 0));
    });
    req.on("error", () => finish(0));
    req.end(body);
  });
}

/** Counts the tokens in a chunk. A token whose pattern is split between two chunks is not counted; the report then counts the response as failed. */
function countTokens(data: Buffer): number {
  let count = 0;
  let position = data.indexOf(TOKEN_PATTERN);
  while (position >= 0) {
    count++;
    position = data.indexOf(TOKEN_PATTERN, position + TOKEN_PATTERN.length);
  }
  return count;
}
