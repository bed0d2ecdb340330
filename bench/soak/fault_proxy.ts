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
 * How a proxy treats its connections.
 *
 * - `delay`: each piece arrives later.
 * - `silence`: nothing arrives in either direction, and nothing is closed.
 * - `cut-requests`, `cut-answers`: nothing arrives in one direction.
 * - `reset`: connections are reset, also new ones.
 */
export type LinkFault =
  | "none"
  | "delay"
  | "silence"
  | "cut-requests"
  | "cut-answers"
  | "reset";

/** Time by which a delaying link holds each piece back, in milliseconds. */
const DELAY_MS = 150;

/** Loopback proxy in front of one address, through which a soak harms a link. */
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
      const link = new ProxiedConnection(
        caller,
        parseAddress(target),
        () => this.#fault,
      );
      this.#connections.add(link);
      caller.on("close", () => this.#connections.delete(link));
    });
  }

  /** Gets the address as `host:port`. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Starts listening. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  /** Sets how the connections are treated from now on. What a harmed link held back then arrives. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    for (const link of this.#connections) {
      if (fault === "reset") {
        link.abort();
      } else {
        link.release();
      }
    }
  }

  /** Ends all connections and stops listening. */
  async dispose(): Promise<void> {
    this.#connections.forEach((link) => link.abort());
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

/** One connection through the proxy. */
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

  /** Lets what was held back go, as far as the fault allows. */
  release(): void {
    const held = this.#heldEvents.splice(0);
    held.forEach(({ isRequest, forward }) =>
      this.#dispatch(isRequest, forward)
    );
  }

  /** Resets both sides. */
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
      this.#heldEvents.some((chunk) => chunk.isRequest === isRequest);
    if (isHeld) {
      this.#heldEvents.push({ isRequest, forward });
    } else if (fault === "delay") {
      setTimeout(forward, DELAY_MS);
    } else {
      forward();
    }
  }
}
