import type { BackendResponse } from "../../connection/backend_transport.ts";
import type { GroupAttempt } from "./group_attempt.ts";

/** Attempt whose group has begun to respond. */
export interface RespondingAttempt {
  readonly attempt: GroupAttempt;
  readonly response: BackendResponse;
}

/**
 * State of a move.
 *
 * - `waiting`: the request waits for a slot of another group.
 * - `sent`: the request has been sent to the other group, which has not responded.
 * - `taken`: the other group has begun to respond, and continues the stream.
 */
export type StreamMoveState = "waiting" | "sent" | "taken";

/**
 * Move of a stream from a group that does not respond to another one. The current attempt goes on until the other group has begun to respond, since a silent server may continue at any time.
 *
 * @example
 * ```ts
 * const move = new StreamMove((move) => openAttempt(move.signal));
 * move.cancel();
 * ```
 */
export class StreamMove {
  /** Resolves to the attempt that continues the stream, or to undefined when the current attempt has to go on. */
  readonly result: Promise<RespondingAttempt | undefined>;
  readonly #controller = new AbortController();
  #state: StreamMoveState = "waiting";

  /**
   * @param run - Acquires a slot and sends the request; stops when the signal of the move aborts.
   */
  constructor(
    run: (move: StreamMove) => Promise<RespondingAttempt | undefined>,
  ) {
    this.result = run(this);
  }

  /** Gets the signal that aborts when the move is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  get state(): StreamMoveState {
    return this.#state;
  }

  /** Records that the request is being sent to the other group. */
  recordSent(): void {
    this.#state = "sent";
  }

  /** Records that the other group continues the stream. The move can no longer be cancelled. */
  recordTaken(): void {
    this.#state = "taken";
  }

  /** Cancels the move unless the other group already continues the stream. */
  cancel(): void {
    if (this.#state !== "taken") {
      this.#controller.abort();
    }
  }
}
