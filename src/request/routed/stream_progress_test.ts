import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { BackendError } from "../../connection/backend_transport.ts";
import { StreamProgress } from "./stream_progress.ts";

describe("StreamProgress", () => {
  describe("acceptEvents", () => {
    function createEvents(...ids: number[]) {
      return ids.map((id) => ({ id, bytes: Buffer.from(`id: ${id}\n\n`) }));
    }

    it("drops the events that the caller has received", () => {
      const progress = new StreamProgress(2);
      expect(progress.acceptEvents(createEvents(1, 2, 3, 4)))
        .toEqual(createEvents(3, 4));
      expect(progress.lastEventId).toBe(4);
    });

    // Guards against a stream that continues without the events that arrived together with a gap, and were not sent to the caller.
    it("accepts no event of a chunk with a gap", () => {
      const progress = new StreamProgress(2);
      expect(() => progress.acceptEvents(createEvents(3, 4, 6)))
        .toThrow(BackendError);
      expect(progress.lastEventId).toBe(2);
      expect(progress.acceptEvents(createEvents(3)))
        .toEqual(createEvents(3));
    });
  });
});
