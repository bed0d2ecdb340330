import { describe, expect, it } from "vitest";
import {
  createRequestScope,
  createRoutedRequest,
} from "../../../tests/support/routed_requests.ts";
import type { GroupGrant } from "../../process/fleet/group_admission.ts";
import { StreamAttempts } from "../../process/fleet/stream_attempts.ts";
import { GroupAttempt } from "./group_attempt.ts";

describe("GroupAttempt", () => {
  // Guards against a request that runs until its deadline although its caller left just before it was sent.
  it("is aborted when the caller has already left", () => {
    const scope = {
      ...createRequestScope({
        context: { attempts: new StreamAttempts() },
        route: {},
      }),
      request: createRoutedRequest({ signal: AbortSignal.abort() }),
    };
    const attempt = new GroupAttempt(scope, {
      grant: { group: { key: "g1/1" }, release: () => {} } as GroupGrant,
      onSilence: () => {},
    });
    expect(attempt.signal.aborted).toBe(true);
  });
});
