import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { RequestListener } from "node:http";
import type { PeerMessageHandler, PeerNotice } from "./peer_notice.ts";
import { createPeerLinkOptions } from "./peer_clients.ts";
import { PeerHttpClient } from "./peer_http_client.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the tRPC router of the peer port.
 *
 * @param messageHandler - Handler of the messages of other daemons.
 */
export function createFleetPeerRouter(messageHandler: PeerMessageHandler) {
  return peerTrpc.router({
    exchange: peerTrpc.procedure
      .input(parseNotice)
      .mutation(({ input }) => messageHandler.handleNotice(input)),
    getConfig: peerTrpc.procedure.query(() =>
      messageHandler.getConfig() ?? null
    ),
    getServers: peerTrpc.procedure.query(() => messageHandler.getServers()),
  });
}

/** Type of the tRPC router, from which the client types are derived. */
export type FleetPeerRouter = ReturnType<typeof createFleetPeerRouter>;

/**
 * Creates the HTTP request listener of the peer port.
 *
 * @param messageHandler - Handler of the messages of other daemons.
 */
export function createFleetPeerApp(
  messageHandler: PeerMessageHandler,
): RequestListener {
  const handleRequest = createHTTPHandler({
    router: createFleetPeerRouter(messageHandler),
  });
  return (req, res) => {
    res.sendDate = false;
    handleRequest(req, res);
  };
}

/** Clients of the peer ports of other daemons, one for each address. */
export class FleetPeerClients {
  readonly #httpClient = new PeerHttpClient();
  readonly #clientByAddress = new Map<string, TRPCClient<FleetPeerRouter>>();
  readonly #timeoutMs: number;

  constructor(options: { timeoutMs: number }) {
    this.#timeoutMs = options.timeoutMs;
  }

  /**
   * Gets the client for a peer port.
   *
   * @param address - IP address and port.
   */
  getClient(address: string): TRPCClient<FleetPeerRouter> {
    let client = this.#clientByAddress.get(address);
    if (client === undefined) {
      client = createTRPCClient<FleetPeerRouter>({
        links: [httpLink(createPeerLinkOptions(address, {
          fetch: (url, init) => this.#httpClient.request(url, init),
          timeoutMs: this.#timeoutMs,
        }))],
      });
      this.#clientByAddress.set(address, client);
    }
    return client;
  }

  /** Closes the idle connections. */
  dispose(): void {
    this.#httpClient.dispose();
  }
}

/** Checks only a few fields of a notice. A complete validation is not needed because peers run the same program. */
function parseNotice(value: unknown): PeerNotice {
  const notice = value as PeerNotice;
  if (
    typeof notice?.sender?.name !== "string" ||
    typeof notice.sender.address !== "string" ||
    !Array.isArray(notice.loads) || !Array.isArray(notice.lostGroups)
  ) {
    throw new Error(
      "The peer notice is invalid: sender, loads or lostGroups is missing or has the wrong type",
    );
  }
  return notice;
}
