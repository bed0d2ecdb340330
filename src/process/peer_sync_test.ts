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

/** Responses of a stubbed peer. */
interface PeerResponses {
  exchangeResponse: Partial<StateExchangeResponse>;
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

function createContext(responses: PeerResponses): DaemonContext {
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
          const response = {
            ...createStateExchangeResponse(context),
            ...responses.exchangeResponse,
          };
          await delay(responses.delayMs);
          return { ...response, from: "entry-2", incarnation: "1" };
        },
      },
      getGroupHealth: {
        mutate: () => {
          responses.healthFetches++;
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

describe("PeerSync.syncPeer", () => {
  // Guards against a response that counts as fresh although it is old, for example because the process was paused after the request.
  it.each(
    [
      ["a recent confirmation", 0, 0, "fresh"],
      ["a late response", 0, LIMIT_MS + 1, "stale"],
      ["an old confirmation in a slow response", 2_000, 1_001, "stale"],
      ["no confirmation", null, 0, "stale"],
    ] as const,
  )(
    "computes the freshness from %s",
    async (_name, confirmationAgeMs, delayMs, expected) => {
      const context = createContext({
        exchangeResponse: { confirmationAgeMs },
        delayMs,
        healthFetches: 0,
      });
      const exchange = new PeerSync(context).syncPeer("entry-2:1");
      await vi.advanceTimersByTimeAsync(delayMs);
      await exchange;
      expect(context.freshness.getState()).toBe(expected);
    },
  );

  // Guards against a fetch of the whole health table with each exchange when a fetch doesn't remove the difference.
  it("fetches group health once for the same pair of digests", async () => {
    const responses = {
      exchangeResponse: { healthDigest: 1 },
      delayMs: 0,
      healthFetches: 0,
    };
    const sync = new PeerSync(createContext(responses));
    for (const healthDigest of [1, 1, 2, 2]) {
      responses.exchangeResponse.healthDigest = healthDigest;
      const exchange = sync.syncPeer("entry-2:1");
      await vi.advanceTimersByTimeAsync(0);
      await exchange;
    }
    expect(responses.healthFetches).toBe(2);
  });
});
