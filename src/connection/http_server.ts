import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, Server as TcpServer, type Socket } from "node:net";
import { handleClientError } from "./client_error_handler.ts";

const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 16_384;
/** The runtime checks the header and request timeouts only this often. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Bounds of a listener. */
export interface HttpServerOptions {
  /** Time in which a whole request has to arrive, in milliseconds. */
  readonly requestTimeoutMs?: number;
  /** Connections at the same time; further ones are closed. */
  readonly maxConnections?: number;
}

/** HTTP server of one listener of the daemon. */
export class HttpServer {
  readonly #server: Server;
  #address = "";

  constructor(listener: RequestListener, options: HttpServerOptions = {}) {
    const requestTimeoutMs = options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: Math.min(HEADERS_TIMEOUT_MS, requestTimeoutMs),
      requestTimeout: requestTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    }, listener);
    // The runtime drops headers past its default count silently; the header bytes bound them already.
    this.#server.maxHeadersCount = 0;
    if (options.maxConnections !== undefined) {
      this.#server.maxConnections = options.maxConnections;
    }
    this.#server.on(
      "clientError",
      (error, socket) => handleClientError(error, socket as Socket),
    );
  }

  /** Gets the address as `host:port`. */
  get address(): string {
    return this.#address;
  }

  /** Gets the underlying server. */
  get server(): Server {
    return this.#server;
  }

  /**
   * Starts listening.
   *
   * @param options - IP number and port; port 0 means any free one.
   */
  async listen(options: { host: string; port: number }): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(options.port, options.host, () => {
        this.#server.removeListener("error", reject);
        resolve();
      });
    });
    const info = this.#server.address() as AddressInfo;
    this.#address = `${options.host}:${info.port}`;
  }

  /** Stops accepting connections and leaves the open ones alone. */
  stopListening(): void {
    // The HTTP server's own close would break idle connections, on which a request may be on its way.
    TcpServer.prototype.close.call(this.#server);
  }

  /** Stops listening, closes idle connections and breaks the others. */
  async dispose(): Promise<void> {
    if (!this.#server.listening) {
      this.#server.closeAllConnections();
      return;
    }
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
  }
}
