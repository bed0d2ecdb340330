import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { PeerRouter } from "./peer_router.ts";

/** Typed client of the peer port of one daemon. */
export type PeerClient = TRPCClient<PeerRouter>;

/** Gives clients of the other daemons' peer ports. */
export interface PeerClients {
  /**
   * Gets the client for a peer port.
   *
   * @param address - IP number and port.
   */
  getClient(address: string): PeerClient;
}

/** Peer clients that use tRPC over HTTP. Connections are kept alive by the runtime. */
export class HttpPeerClients implements PeerClients {
  readonly #timeoutMs: number;
  readonly #byAddress = new Map<string, PeerClient>();

  constructor(options: { timeoutMs: number }) {
    this.#timeoutMs = options.timeoutMs;
  }

  getClient(address: string): PeerClient {
    const existing = this.#byAddress.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}`,
        fetch: (url, init) =>
          fetch(url, {
            ...init as RequestInit,
            signal: this.#createSignal(init?.signal ?? undefined),
          }),
      })],
    });
    this.#byAddress.set(address, client);
    return client;
  }

  #createSignal(signal: AbortSignal | undefined): AbortSignal {
    const timeout = AbortSignal.timeout(this.#timeoutMs);
    return signal === undefined ? timeout : AbortSignal.any([signal, timeout]);
  }
}
