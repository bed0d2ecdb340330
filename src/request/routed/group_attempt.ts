import type { StreamObservation } from "../../process/concurrency/server_record.ts";
import type { GroupGrant } from "../../process/fleet/group_admission.ts";
import type { ReplicaGroup } from "../../process/fleet/group_table.ts";
import type { StreamAttempt } from "../../process/fleet/stream_attempts.ts";
import type { RequestScope } from "./request_scope.ts";

/** Attempt of one request at a replica group. It holds a slot of the group, and ends with the request's deadline or when the caller leaves. */
export class GroupAttempt implements StreamAttempt {
  readonly startedAtMs = performance.now();
  lastEventAtMs: number | undefined;
  /** Observation of the stream's pauses, once its request is sent. */
  observation: StreamObservation | undefined;
  readonly #grant: GroupGrant;
  readonly #controller = new AbortController();
  readonly #onSilence: (reason: string) => void;
  readonly #removeListeners: () => void;
  #lossReason: string | undefined;
  /** Whether events that have arrived wait for the caller to read. */
  #isCallerSlow = false;

  /**
   * @param scope - Request of the attempt.
   * @param options.grant - Slot of the group; released when the attempt is disposed.
   * @param options.onSilence - Called, also repeatedly, while the group does not respond.
   */
  constructor(scope: RequestScope, options: {
    grant: GroupGrant;
    onSilence(reason: string): void;
  }) {
    const { context, request, deadlineAtMs } = scope;
    this.#grant = options.grant;
    this.#onSilence = options.onSilence;
    const abort = () => this.#controller.abort();
    request.signal.addEventListener("abort", abort, { once: true });
    if (request.signal.aborted) {
      abort();
    }
    const timer = setTimeout(
      abort,
      Math.max(0, deadlineAtMs - performance.now()),
    );
    const removeAttempt = context.attempts.add(this);
    this.#removeListeners = () => {
      clearTimeout(timer);
      removeAttempt();
      request.signal.removeEventListener("abort", abort);
    };
  }

  get group(): ReplicaGroup {
    return this.#grant.group;
  }

  /** Gets the signal that aborts the attempt. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Gets the reason why the attempt was ended before its response; undefined while it was not. */
  get lossReason(): string | undefined {
    return this.#lossReason;
  }

  /** Gets the time since the last event, or since the start of the attempt, in milliseconds; 0 while events wait for the caller to read. */
  getSilenceMs(): number {
    return this.#isCallerSlow
      ? 0
      : performance.now() - (this.lastEventAtMs ?? this.startedAtMs);
  }

  /** Waits for the caller to read on, which is no silence of the group. */
  async waitForCaller(writablePromise: Promise<void>): Promise<void> {
    this.#isCallerSlow = true;
    this.observation?.pause();
    try {
      await writablePromise;
    } finally {
      this.#isCallerSlow = false;
      this.observation?.resume();
      this.lastEventAtMs = performance.now();
    }
  }

  abandon(reason: string): void {
    this.#onSilence(reason);
  }

  /** Ends the attempt because another group continues the response, or its caller no longer waits for an event. */
  abort(reason: string): void {
    this.#lossReason ??= reason;
    this.#controller.abort();
  }

  /** Records, after the attempt has been disposed, that the engine declined its request. */
  recordDecline(): void {
    this.#grant.recordDecline?.();
  }

  /** Releases the slot, and ends the attempt if it is still running. */
  dispose(): void {
    this.#removeListeners();
    this.observation?.finish();
    this.#controller.abort();
    this.#grant.release();
  }
}
