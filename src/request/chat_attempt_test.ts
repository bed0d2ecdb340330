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
      limits: { firstTokenMs: 1_000, nextTokenMs: 1_000 },
    });
    return { attempt, release };
  }

  describe("cancel", () => {
    // Guards against a slot that is granted again while the engine still holds the cancelled request, which crashed a cold engine.
    it("gives the grant back only when the engine has dropped the request", async () => {
      let onDropped = () => {};
      const dropped = new Promise<void>((resolve) => onDropped = resolve);
      const { attempt, release } = createAttempt(() => dropped);
      attempt.cancel("parked");
      attempt.releaseGrant("cancelled");
      expect(release).not.toHaveBeenCalled();
      onDropped();
      await vi.waitFor(() => expect(release).toHaveBeenCalledWith("cancelled"));
    });

    it("gives the grant back when the engine does not answer", async () => {
      const { attempt, release } = createAttempt(() =>
        Promise.reject(new Error("The engine is not reachable"))
      );
      attempt.cancel("moved");
      await vi.waitFor(() => expect(release).toHaveBeenCalledOnce());
    });
  });

  describe("releaseGrant", () => {
    it("gives the grant of a finished attempt back at once", () => {
      const { attempt, release } = createAttempt(() => Promise.resolve());
      attempt.releaseGrant("finished");
      expect(release).toHaveBeenCalledWith("finished");
    });
  });
});
