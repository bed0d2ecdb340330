import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { RequestListener } from "node:http";
import type { PeerMessageHandler, PeerNotice } from "./peer_notice.ts";
import { createPeerLinkOptions } from "./peer_clients.ts";
import { PeerHttpClient } from "./peer_http_client.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the router that the other daemons call.
 *
 * @param messageHandler - Part of the daemon that answers them.
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

/** Router that the other daemons call. */
export type FleetPeerRouter = ReturnType<typeof createFleetPeerRouter>;

/**
 * Creates the listener of the peer port.
 *
 * @param messageHandler - Part of the daemon that answers the peers.
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

/** Clients of the other daemons' peer ports. */
export class FleetPeerClients {
  readonly #httpClient = new PeerHttpClient();
  readonly #byAddress = new Map<string, TRPCClient<FleetPeerRouter>>();
  readonly #timeoutMs: number;

  constructor(options: { timeoutMs: number }) {
    this.#timeoutMs = options.timeoutMs;
  }

  /**
   * Gets the client for a peer port.
   *
   * @param address - IP number and port.
   */
  getClient(address: string): TRPCClient<FleetPeerRouter> {
    let client = this.#byAddress.get(address);
    if (client === undefined) {
      client = createTRPCClient<FleetPeerRouter>({
        links: [httpLink(createPeerLinkOptions(address, {
          fetch: (url, init) => this.#httpClient.request(url, init),
          timeoutMs: this.#timeoutMs,
        }))],
      });
      this.#byAddress.set(address, client);
    }
    return client;
  }

  /** Closes the idle connections. */
  dispose(): void {
    this.#httpClient.dispose();
  }
}

/** Checks what the exchange relies on; peers run the same program. */
function parseNotice(value: unknown): PeerNotice {
  const notice = value as PeerNotice;
  if (
    typeof notice?.sender?.name !== "string" ||
    typeof notice.sender.address !== "string" ||
    !Array.isArray(notice.loads) || !Array.isArray(notice.lostGroups)
  ) {
    throw new Error("The notice of a peer cannot be read");
  }
  return notice;
}
