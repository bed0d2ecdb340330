import type { Socket } from "node:net";

/**
 * What ended the connection of a caller.
 *
 * - `caller`: the caller closed or reset it, or the network did.
 * - `response-aborted`: a response had started and could not be completed.
 * - `client-error`: the bytes after a request were not valid HTTP or came too late.
 * - `idle-timeout`: the connection counted as idle.
 * - `listener-closed`: the listener was closed at the end of the process.
 */
export type ConnectionEndReason =
  | "caller"
  | "response-aborted"
  | "client-error"
  | "idle-timeout"
  | "listener-closed";

const endReasons = new WeakMap<Socket, ConnectionEndReason>();

/** Records why the daemon is about to end a connection. The first reason holds. */
export function recordEndReason(
  socket: Socket,
  reason: ConnectionEndReason,
): void {
  if (!endReasons.has(socket)) {
    endReasons.set(socket, reason);
  }
}

/** Gets what ended a connection; `caller` unless the daemon has recorded a reason of its own. */
export function getEndReason(socket: Socket): ConnectionEndReason {
  return endReasons.get(socket) ?? "caller";
}
