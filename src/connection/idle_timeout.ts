import type { Socket } from "node:net";
import { recordEndReason } from "./connection_end_reason.ts";

/** Time for which an idle connection stays open beyond its limit, so that a request sent just before the limit arrives on an open connection, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;

/** What the caller of a connection may count on after the last response. */
interface IdleState {
  /** Limit in force when the last request arrived, which the head of its response states, in milliseconds. */
  limitMs: number;
  /** Time for which the connection has been idle when its timer was last set, in milliseconds. */
  idleMs: number;
}

/** Decides when an idle connection is closed, if its limit changes while it is in use or idle. */
export class IdleTimeout {
  readonly #states = new WeakMap<Socket, IdleState>();

  /**
   * Records a request, which ends the idle time of its connection.
   *
   * @param limitMs - Limit in force, in milliseconds.
   */
  recordRequest(socket: Socket, limitMs: number): void {
    const state = this.#states.get(socket);
    if (state === undefined) {
      this.#states.set(socket, { limitMs, idleMs: 0 });
    } else {
      state.limitMs = limitMs;
      state.idleMs = 0;
    }
  }

  /**
   * Closes a connection whose timer has expired, or sets the timer again if its caller may still count on the connection.
   *
   * @param limitMs - Limit in force, in milliseconds.
   */
  handleTimeout(socket: Socket, limitMs: number): void {
    const state = this.#states.get(socket) ?? { limitMs, idleMs: 0 };
    const allowedMs = Math.max(state.limitMs, limitMs) + IDLE_MARGIN_MS;
    const idleMs = state.idleMs + (socket.timeout ?? 0);
    if (idleMs < allowedMs) {
      state.idleMs = idleMs;
      socket.setTimeout(allowedMs - idleMs);
      return;
    }
    // Timers run before sockets are read. At a late event loop, a request may have arrived that is read only now.
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        recordEndReason(socket, "idle-timeout");
        socket.destroy();
      }
    });
  }
}
