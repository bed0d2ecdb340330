import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import { type RawData, WebSocket, WebSocketServer } from "ws";
import type { Disposable } from "../shared/life_cycle_manager.ts";

/** Path of the upgrade request that opens a link. */
const LINK_PATH = "/link";
/** Time limit for opening a link in milliseconds. */
const OPEN_TIMEOUT_MS = 800;
/** Maximum size of a message in bytes; a complete list of the backend servers of a large fleet is a few hundred kilobytes. */
const MAX_MESSAGE_BYTES = 16_777_216;

/** Codes of socket errors that the end of the peer's process causes. */
const PEER_END_CODES: ReadonlySet<unknown> = new Set(["ECONNRESET", "EPIPE"]);

/**
 * Origin of the end of a link.
 *
 * - `own`: this daemon has closed the link.
 * - `peer`: the connection was closed or reset by the other side.
 * - `failure`: anything else, such as an invalid frame or a host that the network reports as unreachable.
 */
export type LinkEndOrigin = "own" | "peer" | "failure";

/** Ordered connection between two daemons that carries text messages both ways. */
export interface PeerLink {
  /** Number of bytes that wait for a slow receiver. */
  readonly bufferedBytes: number;
  /** Sends a message; it is dropped when the link is closed. */
  send(text: string): void;
  /** Registers the listener for messages; it replaces an earlier one. */
  onMessage(listener: (text: string) => void): void;
  /** Registers a listener that is called once when the link has closed. */
  onClose(listener: (reason: string, origin: LinkEndOrigin) => void): void;
  /** Closes the link at once. Messages in transit may be lost. */
  close(): void;
}

/** Opens links to other daemons and accepts theirs. */
export interface PeerLinkTransport {
  /**
   * Opens a link.
   *
   * @param address - IP address and port of the peer listener.
   * @throws When the peer cannot be reached within the time limit.
   */
  open(address: string): Promise<PeerLink>;
  /** Registers the listener for links that other daemons open; it replaces an earlier one. */
  onLink(listener: (link: PeerLink) => void): void;
}

/** Links over WebSocket connections. A kept connection costs a fraction of the processor time of a request for each message. */
export class WebSocketLinkTransport implements PeerLinkTransport, Disposable {
  readonly #acceptor = new WebSocketServer({
    noServer: true,
    clientTracking: true,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  #listener: (link: PeerLink) => void = (link) => link.close();

  /**
   * Accepts links on an HTTP server.
   *
   * @param server - HTTP server of the peer listener.
   */
  listen(server: Server): void {
    server.on("upgrade", (req, socket, head) => {
      socket.on("error", () => socket.destroy());
      if (req.url !== LINK_PATH) {
        socket.end("HTTP/1.1 404 Not Found\r\nconnection: close\r\n\r\n");
        return;
      }
      this.#acceptor.handleUpgrade(req, socket, head, (webSocket) => {
        const link = new WebSocketLink(webSocket);
        link.watchSocket(socket);
        this.#listener(link);
      });
    });
  }

  onLink(listener: (link: PeerLink) => void): void {
    this.#listener = listener;
  }

  open(address: string): Promise<PeerLink> {
    return new Promise((resolve, reject) => {
      const webSocket = new WebSocket(`ws://${address}${LINK_PATH}`, {
        handshakeTimeout: OPEN_TIMEOUT_MS,
        perMessageDeflate: false,
        maxPayload: MAX_MESSAGE_BYTES,
        skipUTF8Validation: true,
      });
      const link = new WebSocketLink(webSocket);
      webSocket.once("upgrade", ({ socket }) => link.watchSocket(socket));
      webSocket.once("open", () => resolve(link));
      link.onClose((reason) => reject(new Error(reason)));
    });
  }

  /** Closes the links that other daemons opened. */
  dispose(): void {
    this.#acceptor.clients.forEach((webSocket) => webSocket.terminate());
    this.#acceptor.close();
  }
}

/** Link over a WebSocket connection. */
class WebSocketLink implements PeerLink {
  readonly #webSocket: WebSocket;
  readonly #closeListeners: ((
    reason: string,
    origin: LinkEndOrigin,
  ) => void)[] = [];
  #onMessage: (text: string) => void = () => {};
  #closeReason = "The link was closed";
  #endOrigin: LinkEndOrigin = "peer";

  constructor(webSocket: WebSocket) {
    this.#webSocket = webSocket;
    webSocket.on("message", (data: RawData) => {
      this.#onMessage(data.toString());
    });
    webSocket.on("error", (error) => {
      this.#closeReason = error.message;
      this.#recordOrigin("failure");
    });
    webSocket.on("close", () => {
      this.#closeListeners.splice(0).forEach((listener) =>
        listener(this.#closeReason, this.#endOrigin)
      );
    });
  }

  get bufferedBytes(): number {
    return this.#webSocket.bufferedAmount;
  }

  send(text: string): void {
    if (this.#webSocket.readyState === WebSocket.OPEN) {
      this.#webSocket.send(text);
    }
  }

  onMessage(listener: (text: string) => void): void {
    this.#onMessage = listener;
  }

  onClose(listener: (reason: string, origin: LinkEndOrigin) => void): void {
    this.#closeListeners.push(listener);
  }

  close(): void {
    this.#recordOrigin("own");
    this.#webSocket.terminate();
  }

  /** Watches the socket of the connection for errors, which the WebSocket does not report once it is open. */
  watchSocket(socket: Duplex): void {
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (!PEER_END_CODES.has(error.code)) {
        this.#closeReason = error.message;
        this.#recordOrigin("failure");
      }
    });
  }

  /** Records the first known origin of the end; a later one only follows from it. */
  #recordOrigin(origin: LinkEndOrigin): void {
    if (this.#endOrigin === "peer") {
      this.#endOrigin = origin;
    }
  }
}
