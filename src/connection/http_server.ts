import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, Server as TcpServer, type Socket } from "node:net";
import { handleClientError } from "./client_error_handler.ts";
import { IdleTimeout } from "./idle_timeout.ts";
import { recordEndReason } from "./connection_end_reason.ts";

/** Time for which an idle keep-alive connection stays open, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Time in which the headers of a request have to arrive, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Default time in which a complete request has to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Default maximum total size of the headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/** Interval at which Node.js checks the header and request timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Limits of a listener. */
export interface HttpServerOptions {
  /** Time in which a complete request has to arrive, in milliseconds. */
  readonly requestTimeoutMs?: number;
  /** Maximum total size of the headers of a request, in bytes. */
  readonly maxHeaderBytes?: number;
  /** Whether the time before the first byte of a connection counts as idle time; by default, it counts towards the header limit. */
  readonly isUnusedTimeIdle?: boolean;
  /** Maximum number of concurrent connections; further connections are closed. */
  readonly maxConnections?: number;
}

/** Limits of a listener that may change while it listens. */
export interface ConnectionLimits {
  /** Maximum total size of the headers of a request, in bytes. */
  readonly maxHeaderBytes?: number;
  /** Time in which the headers of a request have to arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which a caller may use an idle connection again, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** HTTP server of one listener of the daemon. */
export class HttpServer {
  readonly #server: Server;
  readonly #idleTimeout = new IdleTimeout(KEEP_ALIVE_TIMEOUT_MS);
  readonly #sockets = new Set<Socket>();
  readonly #isUnusedTimeIdle: boolean;
  /** Header size up to which open connections take a raised limit, in bytes. */
  readonly #maxHeaderBytes: number;
  /** Header limit that is in force or comes into force, in milliseconds. */
  #headerTimeoutMs: number;
  #headerTimeoutTimer: NodeJS.Timeout | undefined;
  #address = "";

  constructor(listener: RequestListener, options: HttpServerOptions = {}) {
    this.#isUnusedTimeIdle = options.isUnusedTimeIdle ?? false;
    this.#maxHeaderBytes = options.maxHeaderBytes ?? MAX_HEADER_BYTES;
    const requestTimeoutMs = options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
    this.#headerTimeoutMs = Math.min(HEADERS_TIMEOUT_MS, requestTimeoutMs);
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: this.#headerTimeoutMs,
      requestTimeout: requestTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      maxHeaderSize: this.#maxHeaderBytes,
    }, (req, res) => {
      this.#idleTimeout.recordRequest(req.socket);
      listener(req, res);
    });
    // By default, Node.js silently drops headers above a certain number. A limit on the number is not needed because the size of the headers is limited.
    this.#server.maxHeadersCount = 0;
    if (options.maxConnections !== undefined) {
      this.#server.maxConnections = options.maxConnections;
    }
    // An error of a single connection, such as one that cannot be accepted, must not end the process. The error of a listener that cannot be opened rejects its promise.
    this.#server.on("error", () => {});
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    // Without a listener, Node.js closes the connection without an answer. It has removed its own listeners, and an error without one would end the process.
    this.#server.on("connect", (_req, socket) => {
      socket.on("error", () => socket.destroy());
      handleClientError(
        new Error("The listener opens no tunnels"),
        socket as Socket,
      );
    });
    // Node.js sets the timer of a connection only while no request is in flight on it.
    this.#server.on(
      "timeout",
      (socket) => this.#idleTimeout.handleTimeout(socket),
    );
    this.#server.on(
      "clientError",
      (error, socket) => this.#handleClientError(error, socket as Socket),
    );
  }

  #handleClientError(error: Error, socket: Socket): void {
    const isTimeout =
      (error as NodeJS.ErrnoException).code === "ERR_HTTP_REQUEST_TIMEOUT";
    // Node.js also applies the header limit to the time before the first byte of a connection, which is idle time.
    const isUnused = this.#isUnusedTimeIdle && isTimeout &&
      socket.bytesRead === 0;
    if (
      !isUnused ||
      !this.#idleTimeout.keepUnused(socket, this.#server.headersTimeout)
    ) {
      handleClientError(error, socket);
    }
  }

  /** Gets the listening address as `host:port`, or an empty string before the server listens. */
  get address(): string {
    return this.#address;
  }

  /** Gets the underlying Node.js server. */
  get server(): Server {
    return this.#server;
  }

  /** Puts limits into force. Requests that have begun keep the header limit of their time, and idle connections the longest of the limits since their last request. */
  setLimits(limits: ConnectionLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#idleTimeout.setLimit(limits.idleTimeoutMs);
    this.#setHeaderTimeout(limits.headerTimeoutMs);
    // Node.js reads this property for each new connection, but does not declare it.
    (this.#server as Server & { maxHeaderSize: number }).maxHeaderSize = Math
      .max(this.#maxHeaderBytes, limits.maxHeaderBytes ?? 0);
  }

  /** Raises the header limit at once, and lowers it when the requests that have begun under the present one have arrived or exceeded it. */
  #setHeaderTimeout(timeoutMs: number): void {
    if (timeoutMs === this.#headerTimeoutMs) {
      return;
    }
    this.#headerTimeoutMs = timeoutMs;
    clearTimeout(this.#headerTimeoutTimer);
    const apply = () => {
      this.#server.headersTimeout = timeoutMs;
    };
    if (timeoutMs >= this.#server.headersTimeout) {
      apply();
    } else {
      this.#headerTimeoutTimer = setTimeout(apply, this.#server.headersTimeout)
        .unref();
    }
  }

  /**
   * Starts listening.
   *
   * @param options - IP address and port; port 0 selects any free port.
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

  /** Stops accepting new connections. Open connections, including idle ones, stay open. */
  stopListening(): void {
    // The close method of the HTTP server would also close idle connections, on which a request may already be in transit.
    TcpServer.prototype.close.call(this.#server);
  }

  /** Stops listening and closes all connections, including those with requests in flight. */
  async dispose(): Promise<void> {
    clearTimeout(this.#headerTimeoutTimer);
    this.#sockets.forEach((socket) =>
      recordEndReason(socket, "listener-closed")
    );
    const closePromise = this.#server.listening
      ? new Promise<void>((resolve) => this.#server.close(() => resolve()))
      : undefined;
    this.#server.closeAllConnections();
    await closePromise;
    await this.#waitForClosedSockets();
  }

  /** Waits until the ends of the connections have been reported, which happens after they are destroyed. */
  async #waitForClosedSockets(): Promise<void> {
    const sockets = [...this.#sockets].filter(({ destroyed }) => destroyed);
    await Promise.all(
      sockets.map((socket) =>
        new Promise((resolve) => socket.once("close", resolve))
      ),
    );
  }
}
