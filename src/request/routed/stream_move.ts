import type { BackendResponse } from "../../connection/backend_transport.ts";
import type { Route } from "../../version/routing_config.ts";
import type { GroupAttempt } from "./group_attempt.ts";

/** Time without an event after which a stream moves, in milliseconds. Other daemons may report the loss of a group whose streams go on here. */
export const MIN_MOVE_SILENCE_MS = 300;
/** Minimum time after which callers abandon a stream without an event, in milliseconds. */
const MIN_CALLER_WAIT_MS = 2_000;
/** Number of latency objectives for which callers wait for an event, if that is longer. */
const CALLER_WAIT_OBJECTIVES = 4;
/** Number of pause objectives for which callers wait for an event, if that is longer. */
const CALLER_WAIT_PAUSES = 8;
/** Time after which a caller that waits no longer has closed its connection, in milliseconds: a round trip and the delay of its timer. A stream that is ended before its caller leaves counts as cut by the daemon. */
const CALLER_CLOSE_MS = 500;

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
 * Move of a stream from a group that does not respond, or that takes no new work, to another one. The current attempt goes on until the other group has begun to respond, since a silent server may continue at any time and the other group may refuse the request.
 *
 * @example
 * ```ts
 * const move = new StreamMove((move) => openAttempt(move.signal));
 * move.cancel();
 * ```
 */
export class StreamMove<Attempt = RespondingAttempt> {
  /** Resolves to the attempt that continues the stream, or to undefined when the current attempt has to go on. */
  readonly result: Promise<Attempt | undefined>;
  readonly #controller = new AbortController();
  #state: StreamMoveState = "waiting";

  /**
   * @param run - Acquires a slot and sends the request; stops when the signal of the move aborts.
   */
  constructor(
    run: (move: StreamMove<Attempt>) => Promise<Attempt | undefined>,
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

/** Gets the time since the last event of a stream after which its caller has ceased to wait, in milliseconds. */
export function getMaxPauseMs(
  { latencyObjectiveMs, pauseObjectiveMs = 0 }: Route,
): number {
  return CALLER_CLOSE_MS + Math.max(
    MIN_CALLER_WAIT_MS,
    latencyObjectiveMs * CALLER_WAIT_OBJECTIVES,
    pauseObjectiveMs * CALLER_WAIT_PAUSES,
  );
}

/** Waits until the first chunk of the body has arrived. A server may send the head of its response before it has read the prompt. */
export async function waitForBody(
  response: BackendResponse,
): Promise<BackendResponse> {
  const chunks = response.body[Symbol.asyncIterator]();
  const first = await chunks.next();
  const readBody = async function* () {
    if (!first.done) {
      yield first.value;
      yield* { [Symbol.asyncIterator]: () => chunks };
    }
  };
  return { ...response, body: readBody() };
}
