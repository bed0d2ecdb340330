import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { ServerSentEventParser } from "./server_sent_events.ts";

const STREAM = 'id: 1\ndata: {"a":"é"}\n\nid: 2\r\ndata: b\r\n\r\n' +
  "weight-versions: 3\nid: 3\ndata: c\n\n";

describe("ServerSentEventParser", () => {
  describe("push", () => {
    function doTest(pieces: readonly Buffer[]) {
      const reader = new ServerSentEventParser();
      const frames = pieces.flatMap((piece) => reader.push(piece));
      return { reader, frames };
    }

    // Guards against events that are lost or changed when a chunk ends inside them. Tries every offset, since the network may split the stream anywhere.
    it("returns the same events for every split of the stream", () => {
      const bytes = Buffer.from(STREAM);
      for (let at = 0; at <= bytes.length; at++) {
        const { frames, reader } = doTest([
          bytes.subarray(0, at),
          bytes.subarray(at),
        ]);
        expect(frames.map(({ id }) => id)).toEqual([1, 2, 3]);
        expect(Buffer.concat(frames.map((f) => f.bytes)).equals(bytes))
          .toBe(true);
        expect(reader.hasPartialEvent).toBe(false);
      }
    });

    it("keeps an incomplete event back", () => {
      const { frames, reader } = doTest([Buffer.from("id: 1\n\nid: 2\nda")]);
      expect(frames.map(({ id }) => id)).toEqual([1]);
      expect(reader.hasPartialEvent).toBe(true);
    });

    it("returns an event without an id", () => {
      const { frames } = doTest([Buffer.from("data: x\n\n")]);
      expect(frames.map(({ id }) => id)).toEqual([undefined]);
    });
  });
});
