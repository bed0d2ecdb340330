import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { PeerClient } from "../connection/peer_clients.ts";
import { HttpPeerClients } from "../connection/peer_clients.ts";
import {
  createStateExchangeResponse,
  type StateExchangeResponse,
} from "../connection/state_exchange.ts";
import { delay } from "../shared/delay.ts";
import { createContainer, SERVICES } from "./container.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { daemonSettingsSchema } from "./daemon_settings.ts";
import { PeerSync } from "./peer_sync.ts";

const LIMIT_MS = 3_000;

/** Answers of a peer that exists in the test alone. */
interface PeerAnswers {
  digest: Partial<StateExchangeResponse>;
  delayMs: number;
  healthFetches: number;
}

class StubPeerClients extends HttpPeerClients {
  readonly #client: PeerClient;

  constructor(client: PeerClient) {
    super({ timeoutMs: LIMIT_MS });
    this.#client = client;
  }

  override getClient(): PeerClient {
    return this.#client;
  }
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function createContext(answers: PeerAnswers): DaemonContext {
  const container = createContainer(daemonSettingsSchema.parse({
    name: "entry-1",
    zone: "zone-a",
    platformUrl: "http://127.0.0.1:9",
    logLevel: "error",
    freshnessLimitMs: LIMIT_MS,
  }));
  const peer = {
    state: {
      exchange: {
        mutate: async () => {
          const digest = {
            ...createStateExchangeResponse(context),
            ...answers.digest,
          };
          await delay(answers.delayMs);
          return { ...digest, from: "entry-2", incarnation: "1" };
        },
      },
      getGroupHealth: {
        mutate: () => {
          answers.healthFetches++;
          return Promise.resolve([]);
        },
      },
    },
  };
  container.rebind(HttpPeerClients).toConstantValue(
    new StubPeerClients(peer as unknown as PeerClient),
  );
  const context = container.get(SERVICES.context);
  return context;
}

describe("syncPeer", () => {
  // Guards against an answer that was long on its way, as after a pause of the process, and counts as fresh.
  it.each(
    [
      ["a young confirmation", 0, 0, "fresh"],
      ["an answer that is late", 0, LIMIT_MS + 1, "stale"],
      ["an old confirmation in a slow answer", 2_000, 1_001, "stale"],
      ["no confirmation", null, 0, "stale"],
    ] as const,
  )("with %s", async (_name, confirmationAgeMs, delayMs, expected) => {
    const context = createContext({
      digest: { confirmationAgeMs },
      delayMs,
      healthFetches: 0,
    });
    const exchanging = new PeerSync(context).syncPeer("entry-2:1");
    await vi.advanceTimersByTimeAsync(delayMs);
    await exchanging;
    expect(context.freshness.getState()).toBe(expected);
  });

  // Guards against fetching the whole table with each exchange when a difference remains.
  it("fetches the same difference once", async () => {
    const answers = {
      digest: { healthDigest: 1 },
      delayMs: 0,
      healthFetches: 0,
    };
    const sync = new PeerSync(createContext(answers));
    for (const healthDigest of [1, 1, 2, 2]) {
      answers.digest.healthDigest = healthDigest;
      const exchanging = sync.syncPeer("entry-2:1");
      await vi.advanceTimersByTimeAsync(0);
      await exchanging;
    }
    expect(answers.healthFetches).toBe(2);
  });
});
