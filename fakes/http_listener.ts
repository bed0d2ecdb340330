import type { AddressInfo } from "node:net";
import { createServer, type RequestListener, type Server } from "node:http";

/** HTTP server of a fake on a loopback address. */
export class HttpListener {
  readonly #server: Server;
  #address = "";

  constructor(listener: RequestListener) {
    this.#server = createServer(listener);
    // Idle connections stay open longer than a client's pool keeps them, so that no request meets a closing connection.
    this.#server.keepAliveTimeout = 65_000;
  }

  /** Gets the address as `host:port`. */
  get address(): string {
    return this.#address;
  }

  /**
   * Starts listening.
   *
   * @param port - Port, or 0 for any free one.
   * @param host - Loopback address.
   */
  async listen(port = 0, host = "127.0.0.1"): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    const info = this.#server.address() as AddressInfo;
    this.#address = `${host}:${info.port}`;
    return this.#address;
  }

  /** Breaks all open connections at once. */
  dropConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Stops listening and breaks all connections. */
  async close(): Promise<void> {
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
