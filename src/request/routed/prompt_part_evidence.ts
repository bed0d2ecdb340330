import type { PromptPartQuarantine } from "../../process/fleet/prompt_part_quarantine.ts";

/** Time for which a group sends events until the prompt parts count as harmless, in milliseconds. A server that a part crashes may send some events first. */
const HARMLESS_EVENTS_MS = 1_000;

/** Events of one attempt. */
interface AttemptEvents {
  readonly attempt: object;
  /** Monotonic time of the first event, in milliseconds. */
  readonly firstAtMs: number;
  /** Whether the events have shown that the parts are harmless. */
  areHarmless: boolean;
}

/**
 * Reports to the quarantine what the attempts of one request show about the parts of its prompt. Attempts are told apart by identity only.
 *
 * A response shows that its parts are harmless when it is complete or has had events for `HARMLESS_EVENTS_MS`. When its server crashes before that, the request is a suspect. A response that is completed after such a crash shows nothing, since the rest may have been too short for another crash.
 *
 * @example
 * ```ts
 * evidence.recordEvents(attempt);
 * evidence.recordCompletion();
 * ```
 */
export class PromptPartEvidence {
  readonly #quarantine: PromptPartQuarantine;
  readonly #parts: readonly string[];
  /** Events of the last attempt that had any. */
  #events: AttemptEvents | undefined;
  #wasSuspect = false;

  /**
   * @param parts - Parts of the prompt that other requests may have in common with this one.
   */
  constructor(quarantine: PromptPartQuarantine, parts: readonly string[]) {
    this.#quarantine = quarantine;
    this.#parts = parts;
  }

  /** Records that an attempt has received events. */
  recordEvents(attempt: object): void {
    const nowMs = performance.now();
    if (this.#events?.attempt !== attempt) {
      this.#events = { attempt, firstAtMs: nowMs, areHarmless: false };
    }
    const { firstAtMs, areHarmless } = this.#events;
    if (!areHarmless && nowMs - firstAtMs >= HARMLESS_EVENTS_MS) {
      this.#events.areHarmless = true;
      this.#quarantine.recordSuccess(this.#parts, firstAtMs);
    }
  }

  /** Records that the response is complete. */
  recordCompletion(): void {
    if (this.#events !== undefined && !this.#wasSuspect) {
      this.#quarantine.recordSuccess(this.#parts, this.#events.firstAtMs);
    }
  }

  /**
   * Records that the server of an attempt has crashed.
   *
   * @returns Whether the request is a suspect.
   */
  recordCrash(attempt: object): boolean {
    const wasHarmless = this.#events?.attempt === attempt &&
      this.#events.areHarmless;
    const isSuspect = !wasHarmless && this.#parts.length > 0;
    this.#wasSuspect ||= isSuspect;
    return isSuspect;
  }
}
