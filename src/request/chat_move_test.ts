import { Left, Right } from "purify-ts";
import { describe, expect, it, vi } from "vitest";
import {
  type EngineChunk,
  type EngineClient,
  EngineError,
  type EngineFailureKind,
} from "../connection/engine_client.ts";
import type { AdmissionRequest } from "../process/admission.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { InFlightStreamTable } from "../process/in_flight_streams.ts";
import { RetryBudget } from "../process/retry_budget.ts";
import { NullLogger } from "../shared/logger.ts";
import { ChatStream } from "./chat_stream.ts";

type Batch = readonly EngineChunk[];

/** Engine stream whose batches the test sends. */
class ScriptedEngine {
  signal: AbortSignal | undefined;
  resumeTokens: readonly string[] = [];
  readonly release = vi.fn();
  readonly #queue: (Batch | Error)[] = [];
  #wake = () => {};

  send(entry: Batch | Error): void {
    this.#queue.push(entry);
    this.#wake();
  }

  async *stream(signal: AbortSignal): AsyncGenerator<Batch> {
    this.signal = signal;
    signal.addEventListener("abort", () => this.send(createError("aborted")));
    for (;;) {
      const entry = this.#queue.shift();
      if (entry instanceof Error) {
        throw entry;
      } else if (entry !== undefined) {
        yield entry;
        if (entry === END) {
          return;
        }
      } else {
        await new Promise<void>((resolve) => this.#wake = resolve);
      }
    }
  }
}

const END: Batch = [
  { type: "end", finishReason: "stop", promptTokens: 1, outputTokens: 3 },
];

function createToken(index: number, text: string): Batch {
  return [{ type: "token", index, text }];
}

function createError(kind: EngineFailureKind): EngineError {
  return new EngineError("The engine failed", { verdict: "not-run", kind });
}

describe("ChatMove", () => {
  /** Starts a stream at the first engine and sends its request to the second one for a move. No retry has a permit. */
  async function startMove() {
    const engines = [new ScriptedEngine(), new ScriptedEngine()];
    const table = new InFlightStreamTable();
    const controller = new AbortController();
    const recordLoss = vi.fn();
    const acquire = ({ excludedGroupIds }: AdmissionRequest) => {
      const index = [0, 1].find((id) => !excludedGroupIds.has(`${id}`));
      return Promise.resolve(
        index === undefined ? Left(new Error("No group has capacity")) : Right({
          group: { groupId: `${index}`, generation: 1, zone: "z" },
          leaderAddress: `${index}`,
          release: engines[index].release,
        }),
      );
    };
    const context = {
      engineClient: {
        streamChat: (
          address: string,
          { resumeTokens }: { resumeTokens: readonly string[] },
          signal: AbortSignal,
        ) => {
          const engine = engines[Number(address)];
          engine.resumeTokens = resumeTokens;
          return engine.stream(signal);
        },
        abort: () => Promise.resolve(),
        exportKv: () => Promise.reject(new Error("not supported")),
      } as unknown as EngineClient,
      inFlightStreams: table,
      chatRetryBudget: new RetryBudget({ ratio: 0, initialTokens: 0 }),
      settings: {
        firstTokenTimeoutMs: 1_000,
        nextTokenTimeoutMs: 10_000,
        resumeTimeoutMs: 0,
      },
      admission: { acquire },
      healthTable: { getHealth: () => undefined },
      quarantine: {
        isSuspect: () => false,
        isQuarantined: () => false,
        recordLoss,
      },
      metrics: { count: () => {}, record: () => {} },
      events: { record: () => {} },
      logger: new NullLogger(),
    } as unknown as DaemonContext;
    const stream = new ChatStream(
      context,
      {
        body: { model: "m", messages: [{ role: "user", content: "text" }] },
        model: { contextTokens: 1_000, defaultOutputTokens: 10 },
        request: {
          requestId: "r1",
          account: { priority: 0 },
          deadlineAtMs: performance.now() + 60_000,
          signal: controller.signal,
        },
      } as unknown as ConstructorParameters<typeof ChatStream>[1],
    );
    const texts: string[] = [];
    const readAll = async () => {
      for await (const batch of stream.run()) {
        texts.push(...batch.map((c) => c.type === "token" ? c.text : "end"));
      }
    };
    const ended = readAll().catch((error: unknown) => error);
    engines[0].send(createToken(0, "a"));
    await vi.waitFor(() => expect(texts).toEqual(["a"]));
    table.moveStreamsFromGroup("0");
    await vi.waitFor(() => expect(engines[1].signal).toBeDefined());
    return { engines, table, controller, recordLoss, texts, ended };
  }

  // Guards against tokens of two attempts in one response, and against a current attempt that ends before the other engine responds.
  it("drops the tokens that the current engine sends after the request to the other one", async () => {
    const { engines: [first, second], texts, ended } = await startMove();
    first.send(createToken(1, "x"));
    await new Promise(setImmediate);
    expect(first.signal?.aborted).toBe(false);
    expect(texts).toEqual(["a"]);
    second.send(createToken(1, "b"));
    second.send(createToken(2, "c"));
    second.send(END);
    expect(await ended).toBeUndefined();
    expect(second.resumeTokens).toEqual(["a"]);
    expect(texts).toEqual(["a", "b", "c", "end"]);
    expect(first.signal?.aborted).toBe(true);
    expect(first.release).toHaveBeenCalledWith("cancelled");
    expect(second.release).toHaveBeenCalledWith("finished");
  });

  // Guards against a stream that is cut although the other engine responds soon.
  it("continues at the other group when the current one is lost meanwhile", async () => {
    const { engines: [first, second], texts, ended } = await startMove();
    first.send(createError("lost"));
    await new Promise(setImmediate);
    second.send(createToken(1, "b"));
    second.send(END);
    expect(await ended).toBeUndefined();
    expect(texts).toEqual(["a", "b", "end"]);
  });

  // Guards against a slot that stays taken at the other group, or a request that goes on there, when the response is complete.
  it("cancels the request to the other group when the response is complete", async () => {
    const { engines: [first, second], table, texts, ended } = await startMove();
    first.send(END);
    expect(await ended).toBeUndefined();
    expect(texts).toEqual(["a", "end"]);
    expect(second.signal?.aborted).toBe(true);
    await vi.waitFor(() => expect(second.release).toHaveBeenCalled());
    expect(table.getStreams()).toEqual([]);
  });

  it("cancels both requests when the caller disconnects", async () => {
    const { engines, controller, ended } = await startMove();
    controller.abort();
    expect(await ended).toMatchObject({ code: "cancelled" });
    for (const { signal, release } of engines) {
      expect(signal?.aborted).toBe(true);
      await vi.waitFor(() => expect(release).toHaveBeenCalled());
    }
  });

  // Guards against a crash of the other group that does not count for the request that ran there only for a move.
  it("records the loss of the other group with the moved request", async () => {
    const { engines: [first, second], texts, recordLoss, ended } =
      await startMove();
    second.send(createError("lost"));
    await vi.waitFor(() =>
      expect(recordLoss).toHaveBeenCalledWith(
        expect.objectContaining({
          lossId: "1@1/",
          fingerprints: [expect.any(String)],
        }),
      )
    );
    first.send(createToken(1, "b"));
    first.send(END);
    expect(await ended).toBeUndefined();
    expect(texts).toEqual(["a", "b", "end"]);
  });

  // Guards against a stream that is held back at a sound group for longer than one engine may be silent.
  it("stays at its group after the other engine was silent", async () => {
    const { engines: [first, second], texts, ended } = await startMove();
    first.send(createToken(1, "b"));
    await vi.waitFor(() => expect(texts).toEqual(["a", "b"]), 3_000);
    expect(second.release).toHaveBeenCalledWith("group-failed");
    first.send(END);
    expect(await ended).toBeUndefined();
  });
});
