import type { Either } from "purify-ts";
import type { RequestError } from "../shared/errors.ts";
import type { PlacedGroup } from "../version/placement.ts";
import type {
  ClientAccountConfig,
  ModelConfig,
} from "../version/config_schema.ts";

/** Requirements of a request on the group that runs it. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly model: ModelConfig;
  readonly account: ClientAccountConfig;
  /** Maximum KV cache that the request needs, in tokens: the prompt and the maximum output. */
  readonly kvTokens: number;
  /** Hash of the prompt's prefix, for cache affinity. */
  readonly prefixHash: number;
  /** Deadline of the request on the monotonic clock, in milliseconds of `performance.now()`. */
  readonly deadlineAtMs: number;
  /** Groups that may not run the request, for example since an earlier attempt failed there. */
  readonly excludedGroupIds: ReadonlySet<string>;
  /** Whether no other request may run on the group at the same time, since this request may have crashed a group. */
  readonly alone: boolean;
}

/** How a granted request ended, in the cases that the capacity accounting distinguishes. */
export type GrantOutcome = "finished" | "cancelled" | "group-failed";

/** Permission to run one request on one group. */
export interface Grant {
  readonly group: PlacedGroup;
  /** Address of the group's leader. */
  readonly leaderAddress: string;
  /**
   * Returns the capacity to the group. Later calls have no effect.
   *
   * @param outcome - How the request ended.
   */
  release(outcome: GrantOutcome): void;
}

/** Admission control: decides which group runs a request, and when. */
export interface Admission {
  /**
   * Waits for permission to run a request.
   *
   * @param request - Requirements of the request.
   * @param signal - Signal that ends the wait when the caller disconnects.
   * @returns The grant, or the refusal with the verdict `not-run`.
   */
  acquire(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>>;
}
