import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { type PeerFetch, PeerHttpClient } from "./peer_http_client.ts";
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

/** Options of the peer clients. */
export interface HttpPeerClientsOptions {
  readonly timeoutMs: number;
  /** Sends the requests; the daemon's own HTTP client when left out. */
  readonly fetch?: PeerFetch;
}

/** Peer clients that use tRPC over HTTP with connections that are kept alive. */
export class HttpPeerClients implements PeerClients {
  readonly #timeoutMs: number;
  readonly #fetch: PeerFetch;
  readonly #httpClient = new PeerHttpClient();
  readonly #byAddress = new Map<string, PeerClient>();

  constructor(options: HttpPeerClientsOptions) {
    this.#timeoutMs = options.timeoutMs;
    this.#fetch = options.fetch ??
      ((url, init) => this.#httpClient.request(url, init));
  }

  getClient(address: string): PeerClient {
    const existing = this.#byAddress.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = createTRPCClient<PeerRouter>({
      links: [
        httpLink(createPeerLinkOptions(address, {
          fetch: this.#fetch,
          timeoutMs: this.#timeoutMs,
        })),
      ],
    });
    this.#byAddress.set(address, client);
    return client;
  }

  /** Closes the idle connections. */
  dispose(): void {
    this.#httpClient.dispose();
  }
}

/**
 * Creates the options of the link to a peer port.
 *
 * @param address - IP number and port.
 * @param options - How requests are sent, and their time limit in milliseconds.
 */
export function createPeerLinkOptions(
  address: string,
  options: { fetch: PeerFetch; timeoutMs: number },
) {
  return {
    url: `http://${address}`,
    fetch: (
      url: unknown,
      init?: { method?: string; body?: unknown } | null,
    ) =>
      options.fetch(String(url), {
        method: init?.method,
        body: init?.body,
        timeoutMs: options.timeoutMs,
      }),
  };
}
