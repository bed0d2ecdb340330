import type { Buffer } from "node:buffer";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { parseAddress } from "../../src/connection/backend_transport.ts";

/**
 * Fault that a proxy applies to its connections.
 *
 * - `none`: the proxy forwards all data at once.
 * - `delay`: the proxy forwards each chunk after a fixed delay.
 * - `silence`: the proxy forwards nothing in either direction and keeps the connections open.
 * - `cut-requests`: the proxy forwards nothing from the caller to the target.
 * - `cut-answers`: the proxy forwards nothing from the target to the caller.
 * - `reset`: the proxy resets open and new connections.
 */
export type LinkFault =
  | "none"
  | "delay"
  | "silence"
  | "cut-requests"
  | "cut-answers"
  | "reset";

/** Delay of each chunk under the fault `delay`, in milliseconds. */
const DELAY_MS = 150;

/** TCP proxy on loopback that forwards to one address and injects faults into its connections. */
export class FaultProxy {
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  #fault: LinkFault = "none";

  constructor(target: string) {
    this.#server = createServer({ allowHalfOpen: true }, (caller) => {
      if (this.#fault === "reset") {
        caller.resetAndDestroy();
        return;
      }
      const connection = new ProxiedConnection(
        caller,
        parseAddress(target),
        () => this.#fault,
      );
      this.#connections.add(connection);
      caller.on("close", () => this.#connections.delete(connection));
    });
  }

  /** Gets the address of the proxy as `host:port`. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Starts listening. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  /** Sets the fault of open and new connections. Data that the previous fault held back is forwarded unless the new fault also holds it back. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    for (const connection of this.#connections) {
      if (fault === "reset") {
        connection.abort();
      } else {
        connection.release();
      }
    }
  }

  /** Resets all connections and stops listening. */
  async dispose(): Promise<void> {
    this.#connections.forEach((connection) => connection.abort());
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

/** Connections to the caller and to the target, between which the proxy forwards data. */
class ProxiedConnection {
  readonly #caller: Socket;
  readonly #target: Socket;
  readonly #getFault: () => LinkFault;
  readonly #heldEvents: { isRequest: boolean; forward: () => void }[] = [];

  constructor(
    caller: Socket,
    target: { host: string; port: number },
    getFault: () => LinkFault,
  ) {
    this.#caller = caller;
    this.#target = connect({ ...target, allowHalfOpen: true });
    this.#getFault = getFault;
    this.#handleEvents(caller, this.#target, true);
    this.#handleEvents(this.#target, caller, false);
  }

  /** Forwards the held events that the current fault does not hold back. */
  release(): void {
    const heldEvents = this.#heldEvents.splice(0);
    heldEvents.forEach(({ isRequest, forward }) =>
      this.#dispatch(isRequest, forward)
    );
  }

  /** Resets the sockets of the caller and the target. */
  abort(): void {
    this.#caller.resetAndDestroy();
    this.#target.resetAndDestroy();
  }

  #handleEvents(from: Socket, to: Socket, isRequest: boolean): void {
    from.on("data", (chunk: Buffer) =>
      this.#dispatch(isRequest, () => {
        if (!to.destroyed) {
          to.write(chunk);
        }
      }));
    from.on("end", () => this.#dispatch(isRequest, () => to.end()));
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => this.#dispatch(isRequest, () => to.destroy()));
  }

  #dispatch(isRequest: boolean, forward: () => void): void {
    const fault = this.#getFault();
    const isHeld = fault === "silence" ||
      fault === (isRequest ? "cut-requests" : "cut-answers") ||
      this.#heldEvents.some((event) => event.isRequest === isRequest);
    if (isHeld) {
      this.#heldEvents.push({ isRequest, forward });
    } else if (fault === "delay") {
      setTimeout(forward, DELAY_MS);
    } else {
      forward();
    }
  }
}
