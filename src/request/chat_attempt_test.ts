import { describe, expect, it, vi } from "vitest";
import type { EngineClient } from "../connection/engine_client.ts";
import type { Grant, GrantOutcome } from "../process/admission.ts";
import { ChatAttempt } from "./chat_attempt.ts";

describe("ChatAttempt", () => {
  function createAttempt(abort: () => Promise<void>) {
    const release = vi.fn<(outcome: GrantOutcome) => void>();
    const attempt = new ChatAttempt({
      engineClient: { abort } as unknown as EngineClient,
      grant: { leaderAddress: "127.0.0.1:1", release } as unknown as Grant,
      engineRequest: {
        requestId: "request-1.1",
        model: "model-1",
        messages: [],
        maxOutputTokens: 1,
        priority: 5,
        resumeTokens: [],
      },
      tokenTimeouts: { firstTokenMs: 1_000, nextTokenMs: 1_000 },
    });
    return { attempt, release };
  }

  describe("cancel", () => {
    // Guards against granting a slot again while the engine still runs the cancelled request, which overloaded and crashed a cold engine.
    it("releases the grant only after the engine has dropped the request", async () => {
      let onDropped = () => {};
      const dropped = new Promise<void>((resolve) => onDropped = resolve);
      const { attempt, release } = createAttempt(() => dropped);
      attempt.cancel("parked");
      attempt.releaseGrant("cancelled");
      expect(release).not.toHaveBeenCalled();
      onDropped();
      await vi.waitFor(() => expect(release).toHaveBeenCalledWith("cancelled"));
    });

    it("releases the grant when the engine does not respond", async () => {
      const { attempt, release } = createAttempt(() =>
        Promise.reject(new Error("The engine is not reachable"))
      );
      attempt.cancel("moved");
      await vi.waitFor(() => expect(release).toHaveBeenCalledOnce());
    });
  });

  describe("releaseGrant", () => {
    it("releases the grant of a finished attempt immediately", () => {
      const { attempt, release } = createAttempt(() => Promise.resolve());
      attempt.releaseGrant("finished");
      expect(release).toHaveBeenCalledWith("finished");
    });
  });
});
