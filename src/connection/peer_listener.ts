import { connect } from "node:net";
import { parseAddress } from "./backend_transport.ts";

/** Time limit for a connection attempt in milliseconds. A host that runs refuses or accepts within a round trip. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Result of a connection attempt.
 *
 * - `accepted`: a process listens at the address.
 * - `refused`: the host responds, and no process listens at the address.
 * - `unknown`: no response within the time limit, or another error.
 */
export type ListenerState = "accepted" | "refused" | "unknown";

/**
 * Checks whether a process listens at the address of a peer, with a connection that is closed at once.
 *
 * @param address - IP address and port of the peer listener.
 * @example
 * ```ts
 * const state = await checkListener("10.0.0.7:7000");
 * ```
 */
export function checkListener(address: string): Promise<ListenerState> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (state: ListenerState) => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => settle("unknown"));
    socket.once("connect", () => settle("accepted"));
    socket.on(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        settle(code === "ECONNREFUSED" ? "refused" : "unknown"),
    );
  });
}
