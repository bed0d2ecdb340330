import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";

const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 16_384;

/** HTTP server of one listener of the daemon. */
export class HttpServer {
  readonly #server: Server;
  #address = "";

  constructor(listener: RequestListener) {
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    }, listener);
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

  /** Stops listening, closes idle connections and breaks the others. */
  async dispose(): Promise<void> {
    if (!this.#server.listening) {
      return;
    }
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
  }
}
