import type { AddressInfo } from "node:net";
import { createServer, type RequestListener, type Server } from "node:http";

/** HTTP server on a loopback address, used by the fakes. */
export class HttpListener {
  readonly #server: Server;
  #address = "";

  constructor(listener: RequestListener) {
    this.#server = createServer(listener);
    // Keeps idle connections open longer than client pools do, so that no request is sent on a connection that the server is closing.
    this.#server.keepAliveTimeout = 65_000;
  }

  /** Returns the address as `host:port`. */
  get address(): string {
    return this.#address;
  }

  /**
   * Starts listening and returns the address as `host:port`.
   *
   * @param port - Port, or 0 for any free port.
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

  /** Closes all open connections immediately. */
  dropConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Stops listening; connections with a request in flight go on. */
  stopListening(): void {
    this.#server.close();
  }

  /** Stops listening and closes all connections. */
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
