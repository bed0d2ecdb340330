import { createTRPCClient, type TRPCClient } from "@trpc/client";
import { type PeerFetch, PeerHttpClient } from "./peer_http_client.ts";
import type { PeerRouter } from "./peer_router.ts";
import { createTrpcLink } from "./trpc_link.ts";

/** Typed tRPC client of one daemon's peer port. */
export type PeerClient = TRPCClient<PeerRouter>;

/** Provides clients of the peer ports of other daemons. */
export interface PeerClients {
  /**
   * Gets the client for a peer port.
   *
   * @param address - IP address and port.
   */
  getClient(address: string): PeerClient;
}

/** Options of the peer clients. */
export interface HttpPeerClientsOptions {
  /** Time limit of each request in milliseconds. */
  readonly timeoutMs: number;
  /** Function that sends the requests. A `PeerHttpClient` sends them by default. */
  readonly fetch?: PeerFetch;
}

/** Peer clients that use tRPC over HTTP keep-alive connections. */
export class HttpPeerClients implements PeerClients {
  readonly #timeoutMs: number;
  readonly #fetch: PeerFetch;
  readonly #httpClient = new PeerHttpClient();
  readonly #clientByAddress = new Map<string, PeerClient>();

  constructor(options: HttpPeerClientsOptions) {
    this.#timeoutMs = options.timeoutMs;
    this.#fetch = options.fetch ??
      ((url, init) => this.#httpClient.request(url, init));
  }

  getClient(address: string): PeerClient {
    const existingClient = this.#clientByAddress.get(address);
    if (existingClient !== undefined) {
      return existingClient;
    }
    const client = createTRPCClient<PeerRouter>({
      links: [createTrpcLink({
        address,
        fetch: this.#fetch,
        timeoutMs: this.#timeoutMs,
      })],
    });
    this.#clientByAddress.set(address, client);
    return client;
  }

  /** Closes the idle connections. */
  dispose(): void {
    this.#httpClient.dispose();
  }
}
