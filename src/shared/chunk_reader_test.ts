import { Buffer } from "node:buffer";
import { PassThrough } from "node:stream";
import { describe, expect, it } from "vitest";
import { ChunkReader, type ChunkReaderOptions } from "./chunk_reader.ts";

describe("ChunkReader", () => {
  function doTest(options: ChunkReaderOptions = {}) {
    const stream = new PassThrough();
    return { stream, reader: new ChunkReader(stream, options) };
  }

  async function waitForTasks(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  it("returns a chunk when it arrives, then the end", async () => {
    const { stream, reader } = doTest();
    const firstChunk = reader.next();
    stream.write("a");
    expect((await firstChunk).value?.toString()).toBe("a");
    stream.end("b");
    expect((await reader.next()).value?.toString()).toBe("b");
    expect((await reader.next()).done).toBe(true);
    expect((await reader.next()).done).toBe(true);
  });

  it("reads no more than the stream's buffer while no chunk is requested", async () => {
    const { stream, reader } = doTest();
    const firstChunk = reader.next();
    stream.write("a");
    await firstChunk;
    const block = Buffer.alloc(65_536);
    let writtenBlocks = 0;
    for (; writtenBlocks < 100 && stream.write(block); writtenBlocks++) {
      await waitForTasks();
    }
    expect(writtenBlocks).toBeLessThan(10);
  });

  it("returns the chunks before a failure, then throws", async () => {
    const { stream, reader } = doTest({
      convertError: (error) => new Error(`converted: ${error.message}`),
    });
    const firstChunk = reader.next();
    stream.write("a");
    await firstChunk;
    stream.destroy(new Error("reset"));
    await expect(reader.next()).rejects.toThrow("converted: reset");
  });

  it("throws when the stream closes before its end", async () => {
    const { stream, reader } = doTest();
    const chunk = reader.next();
    stream.destroy();
    await expect(chunk).rejects.toThrow("closed before its end");
  });

  it("throws the error of the check at the end", async () => {
    const { stream, reader } = doTest({
      checkEnd: () => {
        throw new Error("truncated");
      },
    });
    stream.end("a");
    await reader.next();
    await expect(reader.next()).rejects.toThrow("truncated");
  });

  it("destroys the stream when the loop is left", async () => {
    const { stream, reader } = doTest();
    stream.write("a");
    for await (const _chunk of reader) {
      break;
    }
    expect(stream.destroyed).toBe(true);
  });
});
