import type { Socket } from "node:net";

/** End of a caller's connection before the response to a request was complete. */
export interface UnansweredEnd {
  /** Id that the caller gave the request. */
  readonly requestId: string | undefined;
  readonly socket: Socket;
  /** Whether the request had arrived in full. */
  readonly isRequestComplete: boolean;
  /** Whether the status and headers of the response had been sent. */
  readonly hasStarted: boolean;
  /** Time since the headers of the request arrived, in milliseconds. */
  readonly ageMs: number;
}

/** Takes note of connections that end before a response is complete. */
export interface UnansweredEndObserver {
  /** Records that the daemon is about to end a connection because a response has started and cannot be completed. */
  recordAbort(socket: Socket): void;
  recordUnansweredEnd(end: UnansweredEnd): void;
}
