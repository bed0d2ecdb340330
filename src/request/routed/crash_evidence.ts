import type { Verdict } from "../../shared/verdict.ts";
import { createCrashRefusal, getFingerprint } from "./crash_refusal.ts";
import type { GroupAttempt } from "./group_attempt.ts";
import { PromptPartEvidence } from "./prompt_part_evidence.ts";
import type { RequestScope } from "./request_scope.ts";
import type { ModelRequest } from "./routed_request.ts";

/** Maximum length of the id of a prompt part, in characters. */
const MAX_PART_ID_LENGTH = 128;
/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 6;

/**
 * Records what the attempts of one streaming request show about whether it, or a part of its prompt, crashes the groups that run it, and refuses the request when it is suspected.
 *
 * @example
 * ```ts
 * evidence.checkLimit("not-run");
 * evidence.recordCompletion();
 * ```
 */
export class CrashEvidence {
  /** Hash that identifies the request and stays the same when its caller retries it. */
  readonly fingerprint: string;
  readonly #scope: RequestScope;
  /** Parts of the prompt that other requests may have in common with this one; the last part belongs to this request. */
  readonly #sharedParts: readonly string[];
  readonly #partEvidence: PromptPartEvidence;

  constructor(scope: RequestScope, { promptParts }: ModelRequest) {
    this.#scope = scope;
    this.fingerprint = getFingerprint(scope);
    this.#sharedParts = promptParts.slice(0, -1)
      .map(({ id }) => id.slice(0, MAX_PART_ID_LENGTH));
    this.#partEvidence = new PromptPartEvidence(
      scope.context.promptParts,
      this.#sharedParts,
    );
  }

  /** Gets whether the request is suspected of crashing the groups that run it. */
  isRefused(): boolean {
    const { context: { crashes, promptParts }, request } = this.#scope;
    return promptParts.findRefusedPart(this.#sharedParts) !== undefined ||
      crashes.isRefused(this.fingerprint, request.requestId);
  }

  /**
   * Refuses a request that is suspected of crashing the groups that run it.
   *
   * @param verdict - Whether the request may have run in an earlier attempt.
   * @throws {RequestError} When the request is refused.
   */
  checkLimit(verdict: Verdict): void {
    const { promptParts } = this.#scope.context;
    if (this.isRefused()) {
      const refusedPart = promptParts.findRefusedPart(this.#sharedParts);
      throw createCrashRefusal(
        refusedPart === undefined
          ? "The request is refused because several replica groups crashed while running it"
          : `The request is refused because several replica groups crashed while running requests with the prompt part "${refusedPart}"`,
        verdict,
      );
    }
  }

  /** Records that an attempt has received events. */
  recordEvents(attempt: GroupAttempt): void {
    this.#partEvidence.recordEvents(attempt);
  }

  /** Records that the response is complete. */
  recordCompletion(): void {
    this.#scope.context.crashes.recordSuccess(this.fingerprint);
    this.#partEvidence.recordCompletion();
  }

  /** Records that the head of a group crashed while it ran the request. */
  recordCrash(attempt: GroupAttempt): void {
    const { context: { crashes, promptParts, logger }, request } = this.#scope;
    const groupKey = attempt.group.key;
    crashes.recordCrash({ fingerprint: this.fingerprint, groupKey });
    logger.write("info", "crash-recorded", {
      requestId: request.requestId,
      group: groupKey,
      fingerprint: this.fingerprint,
      crashes: crashes.countCrashes(this.fingerprint),
    });
    if (this.#partEvidence.recordCrash(attempt)) {
      promptParts.recordCrash(groupKey, this.#sharedParts);
    }
  }
}

/** Formats the first parts of a prompt for a log line; undefined when there are none. */
export function formatPromptParts(
  { promptParts }: ModelRequest,
): string | undefined {
  return promptParts.length === 0
    ? undefined
    : promptParts.slice(0, MAX_LOGGED_PARTS)
      .map(({ id }) => id.slice(0, MAX_PART_ID_LENGTH)).join(",");
}
