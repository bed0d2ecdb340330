import type { FreshnessSource } from "../process/group_directory.ts";
import { RequestError } from "../shared/errors.ts";

/** Time after which callers are asked to retry, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * Checks that the configuration of the daemon is known to be the newest.
 *
 * @param freshness - Source of the daemon's freshness state.
 * @throws {RequestError} When the configuration is stale, with the verdict `not-run`.
 * @example
 * ```ts
 * checkFreshness(context.freshness);
 * ```
 */
export function checkFreshness(freshness: FreshnessSource): void {
  if (freshness.getState() === "stale") {
    throw new RequestError(
      "The daemon cannot confirm that its configuration is the newest version; retry later or use another daemon",
      {
        code: "stale-configuration",
        verdict: "not-run",
        status: 503,
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
}
