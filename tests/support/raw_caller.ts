import { connect, type Socket } from "node:net";
import { waitUntil } from "./platform_deployment.ts";

/** Caller that writes the bytes of its requests itself. */
export class RawCaller {
  /** All bytes received so far. */
  received = "";
  /** Whether the server has closed the connection or its side of it. */
  isClosed = false;
  /** Code of the error that ended the connection, such as `ECONNRESET`. */
  errorCode: string | undefined;
  readonly #socket: Socket;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.received += String(chunk));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      this.errorCode = error.code;
    });
    for (const event of ["end", "close"]) {
      socket.on(event, () => this.isClosed = true);
    }
  }

  /** Connects to an address in the form `host:port`. */
  static async open(address: string): Promise<RawCaller> {
    const [host, port] = address.split(":");
    // The caller may still write after the end of the server's side, like one whose bytes are already in transit.
    const socket = connect({ port: Number(port), host, allowHalfOpen: true });
    const caller = new RawCaller(socket);
    await new Promise((resolve) => socket.once("connect", resolve));
    return caller;
  }

  write(bytes: string): void {
    this.#socket.write(bytes);
  }

  /** Closes the caller's side of the connection. */
  close(): void {
    this.#socket.end();
  }

  /** Waits until the received bytes contain the text. */
  async waitFor(text: string, timeoutMs?: number): Promise<void> {
    await waitUntil(() => this.received.includes(text), timeoutMs);
  }

  /** Returns the received bytes, and forgets them. */
  takeReceived(): string {
    const received = this.received;
    this.received = "";
    return received;
  }

  /** Ends the connection with a reset. */
  cut(): void {
    this.#socket.resetAndDestroy();
  }

  dispose(): void {
    this.#socket.destroy();
  }
}
