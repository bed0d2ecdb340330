import type { Socket } from "node:net";
import { recordEndReason } from "./connection_end_reason.ts";

/** Time for which an idle connection stays open beyond its limit, so that a request sent just before the limit arrives on an open connection, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;
/** Maximum number of earlier limits that are kept. */
const MAX_EARLIER_LIMITS = 64;

/** What the caller of a connection may count on after the last response. */
interface IdleState {
  /** Monotonic time at which the last request arrived, in milliseconds. The head of its response states the limit of that time. */
  requestedAtMs: number;
  /** Time for which the connection has been idle when its timer was last set, in milliseconds. */
  idleMs: number;
}

/** Limit that is no longer in force. */
interface EarlierLimit {
  readonly limitMs: number;
  /** Monotonic time at which another limit came into force, in milliseconds. */
  readonly endedAtMs: number;
}

/** Decides when an idle connection is closed, if its limit changes while it is in use or idle. */
export class IdleTimeout {
  readonly #states = new WeakMap<Socket, IdleState>();
  /** Connections without a request whose timers this class has set. */
  readonly #unusedSockets = new WeakSet<Socket>();
  /** Earlier limits that are higher than all later ones, in the order of time. */
  readonly #earlierLimits: EarlierLimit[] = [];
  #limitMs: number;

  /**
   * @param limitMs - Limit in force, in milliseconds.
   */
  constructor(limitMs: number) {
    this.#limitMs = limitMs;
  }

  /**
   * Puts a limit into force.
   *
   * @param limitMs - Limit in milliseconds.
   */
  setLimit(limitMs: number): void {
    const earlierLimits = this.#earlierLimits;
    earlierLimits.push({
      limitMs: this.#limitMs,
      endedAtMs: performance.now(),
    });
    this.#limitMs = limitMs;
    while ((earlierLimits.at(-1)?.limitMs ?? Infinity) <= limitMs) {
      earlierLimits.pop();
    }
    if (earlierLimits.length > MAX_EARLIER_LIMITS) {
      earlierLimits.shift();
    }
  }

  /** Records a request, which ends the idle time of its connection. */
  recordRequest(socket: Socket): void {
    const requestedAtMs = performance.now();
    const state = this.#states.get(socket);
    if (this.#unusedSockets.delete(socket)) {
      // Node.js clears only the timers that it has set itself.
      socket.setTimeout(0);
    }
    if (state === undefined) {
      this.#states.set(socket, { requestedAtMs, idleMs: 0 });
    } else {
      state.requestedAtMs = requestedAtMs;
      state.idleMs = 0;
    }
  }

  /**
   * Keeps a connection that has not received anything for the rest of its idle limit.
   *
   * @param waitedMs - Time since the connection was opened, in milliseconds.
   * @returns Whether the limit allows it to be kept.
   */
  keepUnused(socket: Socket, waitedMs: number): boolean {
    const remainingMs = this.#limitMs + IDLE_MARGIN_MS - waitedMs;
    // Node.js takes a limit of 0 as none.
    if (this.#limitMs === 0 || remainingMs <= 0) {
      return false;
    }
    this.#states.set(socket, {
      requestedAtMs: performance.now() - waitedMs,
      idleMs: waitedMs,
    });
    this.#unusedSockets.add(socket);
    socket.setTimeout(remainingMs);
    return true;
  }

  /** Closes a connection whose timer has expired, or sets the timer again if its caller may still count on the connection. */
  handleTimeout(socket: Socket): void {
    if (this.#unusedSockets.has(socket) && socket.bytesRead > 0) {
      // The headers of the first request are arriving, for which there is a limit of its own.
      return;
    }
    const state = this.#states.get(socket) ??
      { requestedAtMs: performance.now(), idleMs: 0 };
    const allowedMs = this.#getHighestLimit(state.requestedAtMs) +
      IDLE_MARGIN_MS;
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

  /** Gets the highest limit that has been in force since a monotonic time, in milliseconds. */
  #getHighestLimit(sinceMs: number): number {
    return this.#earlierLimits.find(({ endedAtMs }) => endedAtMs >= sinceMs)
      ?.limitMs ?? this.#limitMs;
  }
}
