import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type PeerLink, WebSocketLinkTransport } from "./peer_link.ts";
import { checkListener } from "./peer_listener.ts";

describe("WebSocketLinkTransport", () => {
  const transport = new WebSocketLinkTransport();
  const sockets: Duplex[] = [];
  let server: Server;
  let address: string;

  beforeEach(async () => {
    server = createServer();
    server.on("upgrade", (_, socket) => sockets.push(socket));
    transport.listen(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  afterEach(() => void server.close());

  // Guards against a takeover from a planner whose link this daemon has closed or has found faulty itself, and against a missed end of its process.
  it.each<[string, string, (own: PeerLink, peerSocket: Duplex) => void]>([
    ["own", "its own close", (own) => own.close()],
    ["peer", "an end of stream", (_, peerSocket) => peerSocket.destroy()],
    [
      "peer",
      "a reset",
      (_, peerSocket) =>
        (peerSocket as Duplex & { resetAndDestroy(): void }).resetAndDestroy(),
    ],
    [
      "failure",
      "an invalid frame",
      (_, peerSocket) => peerSocket.write(Buffer.from([0xff, 0xff])),
    ],
  ])("reports the origin %s for %s", async (expected, _, end) => {
    transport.onLink(() => {});
    const link = await transport.open(address);
    const origin = new Promise((resolve) =>
      link.onClose((_reason, origin) => resolve(origin))
    );
    end(link, sockets.at(-1)!);
    expect(await origin).toBe(expected);
  });

  // Guards against a process that only starts slowly or is cut off and counts as ended.
  it("tells a listener that has closed from one that is open", async () => {
    expect(await checkListener(address)).toBe("accepted");
    server.close();
    await once(server, "close");
    expect(await checkListener(address)).toBe("refused");
  });
});
