import { Left, Right } from "purify-ts";
import { describe, expect, it, vi } from "vitest";
import {
  type EngineChatRequest,
  type EngineChunk,
  type EngineClient,
  EngineError,
} from "../connection/engine_client.ts";
import type { AdmissionRequest } from "../process/admission.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { InFlightStreamTable } from "../process/in_flight_streams.ts";
import { RetryBudget } from "../process/retry_budget.ts";
import { NullLogger } from "../shared/logger.ts";
import { RequestError } from "../shared/errors.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";
import { ChatStream } from "./chat_stream.ts";
import type { RequestContext } from "./request_context.ts";

/** Time after which the first engine sends its second token, in milliseconds; longer than a move takes. */
const SECOND_TOKEN_MS = 100;

describe("ChatStream", () => {
  // Guards against a stream that is cut when its group takes no new work, because its attempt is ended before another engine has accepted the request.
  it("goes on at its group when the engine of the other group refuses it", async () => {
    const inFlightStreams = new InFlightStreamTable();
    const calls: string[] = [];
    const engineClient = {
      streamChat: (
        address: string,
        _: EngineChatRequest,
        signal: AbortSignal,
      ): AsyncIterable<readonly EngineChunk[]> => {
        calls.push(address);
        return address === "g1" ? streamTokens(signal) : refuse();
      },
      abort: () => Promise.resolve(),
      exportKv: () => Promise.reject(new Error("not supported")),
    } as unknown as EngineClient;
    const stream = new ChatStream({
      engineClient,
      inFlightStreams,
      chatRetryBudget: new RetryBudget({ ratio: 0, initialTokens: 0 }),
      settings: {
        firstTokenTimeoutMs: 5_000,
        nextTokenTimeoutMs: 5_000,
        resumeTimeoutMs: 0,
      },
      admission: {
        acquire: ({ excludedGroupIds }: AdmissionRequest) => {
          const groupId = ["g1", "g2"].find((id) => !excludedGroupIds.has(id));
          return Promise.resolve(
            groupId === undefined
              ? Left(
                new RequestError("No group has capacity", {
                  code: "no-capacity",
                  verdict: "not-run",
                  status: 503,
                }),
              )
              : Right({
                group: { groupId, generation: 1, zone: "z" },
                leaderAddress: groupId,
                release: () => {},
              }),
          );
        },
      },
      quarantine: {
        isSuspect: () => false,
        isQuarantined: () => false,
        recordSafeRun: () => {},
      },
      metrics: { count: () => {}, record: () => {} },
      events: { record: () => {} },
      logger: new NullLogger(),
    } as unknown as DaemonContext, {
      body: {
        model: "m",
        messages: [{ role: "user", content: "text" }],
      } as unknown as ChatRequestBody,
      model: {
        contextTokens: 1_000,
        defaultOutputTokens: 10,
      } as unknown as ModelConfig,
      request: {
        requestId: "r1",
        account: { priority: 0 },
        deadlineAtMs: performance.now() + 5_000,
        signal: new AbortController().signal,
      } as unknown as RequestContext,
    });
    const tokens: EngineChunk[] = [];
    for await (const batch of stream.run()) {
      tokens.push(...batch);
      if (calls.length === 1 && tokens.length === 1) {
        inFlightStreams.moveStreamsFromGroup("g1");
      }
    }
    expect(tokens.map(({ type }) => type)).toEqual(["token", "token", "end"]);
    await vi.waitFor(() => expect(inFlightStreams.getStreams()).toEqual([]));
  });
});

async function* streamTokens(
  signal: AbortSignal,
): AsyncGenerator<readonly EngineChunk[]> {
  yield [{ type: "token", index: 0, text: "a" }];
  await new Promise<void>((resolve, reject) => {
    setTimeout(resolve, SECOND_TOKEN_MS);
    signal.addEventListener("abort", () =>
      reject(
        new EngineError("The request was aborted", {
          verdict: "may-have-run",
          kind: "aborted",
        }),
      ));
  });
  yield [
    { type: "token", index: 1, text: "b" },
    { type: "end", finishReason: "stop", promptTokens: 1, outputTokens: 2 },
  ];
}

function refuse(): AsyncIterable<readonly EngineChunk[]> {
  const error = new EngineError("The engine refused the request", {
    verdict: "not-run",
    kind: "refused",
  });
  return {
    [Symbol.asyncIterator]: () => ({ next: () => Promise.reject(error) }),
  };
}
