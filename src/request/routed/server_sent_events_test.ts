import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { ServerSentEventParser } from "./server_sent_events.ts";

const STREAM = 'id: 1\ndata: {"a":"é"}\n\nid: 2\r\ndata: b\r\n\r\n' +
  "weight-versions: 3\nid: 3\ndata: c\n\n";

describe("ServerSentEventParser", () => {
  describe("push", () => {
    function doTest(chunks: readonly Buffer[]) {
      const parser = new ServerSentEventParser();
      const events = chunks.flatMap((chunk) => parser.push(chunk));
      return { parser, events };
    }

    // Guards against events that are lost or changed when a chunk ends inside them. Tries every offset, since the network may split the stream anywhere.
    it("returns the same events for every split of the stream", () => {
      const bytes = Buffer.from(STREAM);
      for (let at = 0; at <= bytes.length; at++) {
        const { events, parser } = doTest([
          bytes.subarray(0, at),
          bytes.subarray(at),
        ]);
        expect(events.map(({ id }) => id)).toEqual([1, 2, 3]);
        expect(Buffer.concat(events.map((event) => event.bytes)).equals(bytes))
          .toBe(true);
        expect(parser.hasPartialEvent).toBe(false);
      }
    });

    it("holds back an incomplete event", () => {
      const { events, parser } = doTest([Buffer.from("id: 1\n\nid: 2\nda")]);
      expect(events.map(({ id }) => id)).toEqual([1]);
      expect(parser.hasPartialEvent).toBe(true);
    });

    it("returns an event without an id", () => {
      const { events } = doTest([Buffer.from("data: x\n\n")]);
      expect(events.map(({ id }) => id)).toEqual([undefined]);
    });

    // Guards against a daemon whose memory is filled by a body without an end.
    it("refuses an event that is larger than the limit", () => {
      const parser = new ServerSentEventParser();
      const chunk = Buffer.alloc(65_536, "x");
      const push = () => {
        for (let i = 0; i < 100; i++) {
          parser.push(chunk);
        }
      };
      expect(push).toThrow("An event of the stream is larger than");
    });
  });
});
