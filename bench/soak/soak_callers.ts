import { Agent, request } from "node:http";
import {
  createClientHeaders,
  MODEL_HEADERS,
} from "../../fakes/platform_documents.ts";
import { getHash32 } from "../../src/shared/rendezvous_hash.ts";
import { delay } from "../../src/shared/delay.ts";
import { SeededRandom } from "../load/seeded_random.ts";
import type { SoakDaemon } from "./soak_daemon.ts";
import type { SoakCall, SoakCallKind } from "./soak_record.ts";

/** Number of concurrent callers. */
const CALLER_COUNT = 10;
/** Mean pause of a caller between calls, in milliseconds. */
const MEAN_PAUSE_MS = 60;
/** Probability that a caller changes to another daemon after a complete call. */
const DAEMON_CHANGE_PROBABILITY = 0.1;
/** Timeouts of a complete response by kind of call, in milliseconds. */
const RESPONSE_TIMEOUTS_MS: Readonly<Record<SoakCallKind, number>> = {
  stream: 6_000,
  booking: 2_000,
  lookup: 2_000,
};
const PATHS: Readonly<Record<SoakCallKind, string>> = {
  stream: "/model/1",
  booking: "/book/1",
  lookup: "/look/1",
};

/** Concurrent callers. Each keeps a connection to one daemon and changes to another daemon after an incomplete call or at random. */
export class SoakCallers {
  readonly #daemons: readonly SoakDaemon[];
  readonly #chooseKey: (random: number) => string;
  readonly #calls: SoakCall[];
  readonly #seed: number;
  readonly #prefix: string;

  constructor(options: {
    daemons: readonly SoakDaemon[];
    seed: number;
    /** Prefix of all request ids. */
    prefix: string;
    chooseKey: (random: number) => string;
    /** List to which finished calls are added. */
    calls: SoakCall[];
  }) {
    this.#daemons = options.daemons;
    this.#seed = options.seed;
    this.#prefix = options.prefix;
    this.#chooseKey = options.chooseKey;
    this.#calls = options.calls;
  }

  /** Sends calls until the signal aborts and those in flight have ended. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(
      Array.from(
        { length: CALLER_COUNT },
        (_, i) => this.#runCaller(i, signal),
      ),
    );
  }

  async #runCaller(index: number, signal: AbortSignal): Promise<void> {
    const random = new SeededRandom(
      getHash32(`caller ${this.#seed} ${index}`),
    );
    let agent = createAgent();
    let daemon = this.#chooseDaemon(random);
    for (let number = 0; !signal.aborted; number++) {
      const call = await this.#sendCall(daemon, {
        agent,
        requestId: `${this.#prefix}${index}-${number}`,
        kind: chooseKind(random),
        key: this.#chooseKey(random.getFloat()),
      });
      this.#calls.push(call);
      // The balancer chooses a daemon only for new connections; a kept connection stays with its daemon.
      if (!call.isComplete || random.getFloat() < DAEMON_CHANGE_PROBABILITY) {
        agent.destroy();
        agent = createAgent();
        daemon = this.#chooseDaemon(random);
      }
      await delay(random.getFloat() * 2 * MEAN_PAUSE_MS, signal);
    }
    agent.destroy();
  }

  #chooseDaemon(random: SeededRandom): number {
    const indexes = this.#daemons.map((_, index) => index);
    const readyIndexes = indexes.filter((i) => this.#daemons[i].isInRotation);
    const candidates = readyIndexes.length > 0 ? readyIndexes : indexes;
    return candidates[random.getInteger(candidates.length)];
  }

  #sendCall(daemon: number, call: {
    agent: Agent;
    requestId: string;
    kind: SoakCallKind;
    key: string;
  }): Promise<SoakCall> {
    const { agent, requestId, kind, key } = call;
    const sentAtMs = Date.now();
    const timeoutMs = RESPONSE_TIMEOUTS_MS[kind];
    return new Promise((resolve) => {
      let body = "";
      let hasGivenUp = false;
      const finish = (fields: Partial<SoakCall>) => {
        clearTimeout(timer);
        resolve({
          requestId,
          kind,
          daemon,
          key,
          sentAtMs,
          endedAtMs: Date.now(),
          status: undefined,
          isComplete: false,
          hasGivenUp,
          answeredId: undefined,
          signature: undefined,
          body,
          ...fields,
        });
      };
      const clientRequest = request({
        ...this.#daemons[daemon].callerAddress,
        agent,
        method: kind === "lookup" ? "GET" : "POST",
        path: PATHS[kind],
        headers: {
          ...createClientHeaders(requestId, key, timeoutMs),
          ...(kind === "stream" ? MODEL_HEADERS : {}),
        },
      }, (response) => {
        const getResponseFields = () => ({
          status: response.statusCode,
          isComplete: response.complete,
          answeredId: response.headers["request-id"] as string | undefined,
          signature: response.headers["response-signature"] as
            | string
            | undefined,
        });
        response.setEncoding("utf8");
        response.on("data", (chunk: string) => body += chunk);
        response.on("end", () => finish(getResponseFields()));
        response.on("error", () => finish(getResponseFields()));
      });
      const timer = setTimeout(() => {
        hasGivenUp = true;
        clientRequest.destroy();
      }, timeoutMs);
      clientRequest.on("error", () => finish({}));
      clientRequest.end(kind === "lookup" ? undefined : "body");
    });
  }
}

function createAgent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

function chooseKind(random: SeededRandom): SoakCallKind {
  return random.getFloat() < 0.5
    ? "stream"
    : random.getFloat() < 0.5
    ? "booking"
    : "lookup";
}
