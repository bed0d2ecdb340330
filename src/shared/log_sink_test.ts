import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BoundedLogSink } from "./log_sink.ts";

describe("BoundedLogSink", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest(options: { isReaderStopped: boolean }) {
    const texts: string[] = [];
    const sink = new BoundedLogSink({
      write: (text, callback) => {
        texts.push(text);
        if (!options.isReaderStopped) {
          callback(null);
        }
      },
    });
    return { sink, texts };
  }

  describe("writeLine", () => {
    it("writes each line", () => {
      const { sink, texts } = doTest({ isReaderStopped: false });
      sink.writeLine("event=a");
      sink.writeLine("event=b");
      expect(texts.join("")).toBe("event=a\nevent=b\n");
    });

    it("drops lines beyond the limit per second and logs how many", () => {
      const { sink, texts } = doTest({ isReaderStopped: false });
      for (let i = 0; i < 1_000; i++) {
        sink.writeLine(`event=line n=${i}`);
      }
      expect(sink.droppedLines).toBe(600);
      vi.advanceTimersByTime(1_000);
      sink.writeLine("event=last");
      expect(texts.join("")).toContain("event=log-lines-dropped lines=600");
    });

    // Guards against lines that are lost in a failed write without being counted as dropped.
    it("counts the lines of a write that failed", () => {
      const sink = new BoundedLogSink({
        write: (_text, callback) => callback(new Error("The pipe is closed")),
      });
      sink.writeLine("event=a");
      expect(sink.droppedLines).toBe(1);
    });

    it("limits the length of the buffer for a reader that has stopped", () => {
      const { sink, texts } = doTest({ isReaderStopped: true });
      const line = "x".repeat(10_000);
      for (let i = 0; i < 300; i++) {
        sink.writeLine(line);
      }
      expect(texts.length).toBe(1);
      expect(sink.droppedLines).toBeGreaterThan(270);
    });
  });
});
