import type { Either } from "purify-ts";
import type { RequestError } from "../shared/errors.ts";
import type { PlacedGroup } from "../version/placement.ts";
import type {
  ClientAccountConfig,
  ModelConfig,
} from "../version/config_schema.ts";

/** What a request asks of a group. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly model: ModelConfig;
  readonly account: ClientAccountConfig;
  /** KV memory that the request may come to hold: prompt and most output, in tokens. */
  readonly kvTokens: number;
  /** Hash of the prompt's prefix, for cache affinity. */
  readonly prefixHash: number;
  /** Monotonic time by which the request has to end, in milliseconds of `performance.now()`. */
  readonly deadlineAtMs: number;
  /** Groups that failed this request before. */
  readonly excludedGroupIds: ReadonlySet<string>;
  /** Whether the request has to run alone on its group, since it may have crashed one. */
  readonly alone: boolean;
}

/** How a granted request ended, as far as the group's capacity is concerned. */
export type GrantOutcome = "finished" | "cancelled" | "group-failed";

/** Right to run one request on one group. */
export interface Grant {
  readonly group: PlacedGroup;
  /** Address of the group's leader. */
  readonly leaderAddress: string;
  /**
   * Gives the right back. Later calls have no effect.
   *
   * @param outcome - How the request ended.
   */
  release(outcome: GrantOutcome): void;
}

/** Decides which group runs a request, and when. */
export interface Admission {
  /**
   * Waits for the right to run a request.
   *
   * @param request - What the request asks of a group.
   * @param signal - Ends the wait when the caller goes away.
   * @returns The right, or the refusal with the verdict `not-run`.
   */
  acquire(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>>;
}
