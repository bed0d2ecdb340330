import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { EngineChunk } from "./engine_client.ts";
import { HttpEngineClient } from "./http_engine_client.ts";

const WRITE_PAUSE_MS = 30;

describe("HttpEngineClient", () => {
  let server: Server;
  let client: HttpEngineClient;

  beforeEach(() => {
    client = new HttpEngineClient();
  });

  afterEach(() => {
    client.dispose();
    server.closeAllConnections();
    server.close();
  });

  describe("streamChat", () => {
    // Guards against tokens that are dropped as duplicates when the engine sends no token index and the numbering restarts with each read.
    it("numbers tokens without an index consecutively over several reads", async () => {
      server = createServer((req, res) => {
        req.resume();
        const writes = ["a", "b", "c"].map((content) =>
          formatEvent({ choices: [{ delta: { content } }] })
        );
        writes.push(
          formatEvent({ choices: [{ delta: {}, finish_reason: "stop" }] }),
        );
        writes.forEach((text, index) =>
          setTimeout(() => res.write(text), index * WRITE_PAUSE_MS)
        );
        setTimeout(() => res.end(), writes.length * WRITE_PAUSE_MS);
      });
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      const chunks: EngineChunk[] = [];
      const batches = client.streamChat(`127.0.0.1:${port}`, {
        requestId: "r-1.2",
        model: "m",
        messages: [],
        maxOutputTokens: 10,
        priority: 0,
        resumeTokens: ["x", "y"],
      }, new AbortController().signal);
      for await (const batch of batches) {
        chunks.push(...batch);
      }
      const indexes = chunks.map((c) => c.type === "token" ? c.index : c.type);
      expect(indexes).toEqual([2, 3, 4, "end"]);
    });
  });
});

function formatEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
