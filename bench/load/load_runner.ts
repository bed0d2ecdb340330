import got from "got";
import { getExpectedTokens } from "../../fakes/fake_completion.ts";
import { delay } from "../../src/shared/delay.ts";
import type { LoadOutcome, LoadResult } from "./load_result.ts";
import type { PlannedRequest } from "./workload.ts";

const SLOW_READER_PAUSE_MS = 40;
const MAX_OUTPUT_TOKENS = 512;

/** Targets and credentials of the requests of a load. */
export interface LoadRunnerOptions {
  /** Gets the addresses of the daemons that receive requests. */
  getDaemonAddresses(): readonly string[];
  readonly model: string;
  readonly service: string;
  /** Gets the API key of a client account. */
  getApiKey(account: string): string;
}

interface ChatProgress {
  text: string;
  firstTokenMs?: number;
  lastTokenAtMs: number;
  gapsMs: number[];
}

/** Sends the requests of a workload at their planned times and records their outcomes. */
export class LoadRunner {
  readonly #options: LoadRunnerOptions;
  #startedAtMs = 0;

  constructor(options: LoadRunnerOptions) {
    this.#options = options;
  }

  /**
   * Runs a workload.
   *
   * @param requests - Requests in the order of their times.
   * @returns The results in the order of the requests.
   */
  async run(requests: readonly PlannedRequest[]): Promise<LoadResult[]> {
    this.#startedAtMs = performance.now();
    const results: Promise<LoadResult>[] = [];
    for (const request of requests) {
      const waitMs = request.atMs - (performance.now() - this.#startedAtMs);
      if (waitMs > 1) {
        await delay(waitMs);
      }
      results.push(this.#send(request));
    }
    return await Promise.all(results);
  }

  async #send(request: PlannedRequest): Promise<LoadResult> {
    const daemonAddresses = this.#options.getDaemonAddresses();
    const daemonAddress =
      daemonAddresses[request.daemonIndex % daemonAddresses.length];
    return request.kind === "chat"
      ? await this.#sendChat(request, daemonAddress)
      : await this.#sendCall(request, daemonAddress);
  }

  async #sendChat(
    request: PlannedRequest,
    daemon: string,
  ): Promise<LoadResult> {
    const sentAtMs = performance.now();
    const progress: ChatProgress = {
      text: "",
      lastTokenAtMs: sentAtMs,
      gapsMs: [],
    };
    const stream = got.stream.post(`http://${daemon}/v1/chat/completions`, {
      json: {
        model: this.#options.model,
        messages: [{ role: "user", content: request.content }],
        max_tokens: MAX_OUTPUT_TOKENS,
        stream: true,
      },
      headers: this.#getHeaders(request),
      retry: { limit: 0 },
      throwHttpErrors: false,
    });
    let status = 0;
    stream.on("response", (response: { statusCode: number }) => {
      status = response.statusCode;
    });
    let hasFailed = false;
    try {
      for await (const data of stream) {
        recordChunk(progress, String(data), sentAtMs);
        if (request.isSlowReader) {
          await delay(SLOW_READER_PAUSE_MS);
        }
      }
    } catch {
      hasFailed = true;
    }
    return this.#createResult(request, sentAtMs, {
      ...getChatOutcome(request, progress, {
        status,
        hasFailed,
        sentAtMs,
      }),
      firstTokenMs: progress.firstTokenMs,
      // The gaps of a slow reader are caused by its own pauses, not by the daemon.
      gapsMs: request.isSlowReader ? [] : progress.gapsMs,
    });
  }

  async #sendCall(
    request: PlannedRequest,
    daemon: string,
  ): Promise<LoadResult> {
    const sentAtMs = performance.now();
    const url =
      `http://${daemon}/services/${this.#options.service}${request.path}`;
    try {
      const response = await got.post(url, {
        body: request.id,
        headers: {
          ...this.#getHeaders(request),
          "idempotency-key": request.id,
        },
        retry: { limit: 0 },
        throwHttpErrors: false,
      });
      const isEchoed = response.statusCode === 200 &&
        (JSON.parse(response.body) as { echo: string }).echo === request.id;
      const outcome = response.statusCode === 200
        ? (isEchoed ? getCompleteOutcome(request, sentAtMs) : "wrong")
        : undefined;
      return this.#createResult(request, sentAtMs, {
        gapsMs: [],
        ...(outcome === undefined
          ? getErrorOutcome(response.body)
          : { outcome }),
      });
    } catch {
      return this.#createResult(request, sentAtMs, {
        gapsMs: [],
        outcome: "unanswered",
      });
    }
  }

  #getHeaders(request: PlannedRequest): Record<string, string> {
    return {
      authorization: `Bearer ${this.#options.getApiKey(request.account)}`,
      "x-request-id": request.id,
      "x-deadline-ms": String(request.deadlineMs),
    };
  }

  #createResult(
    request: PlannedRequest,
    sentAtMs: number,
    result: Pick<LoadResult, "outcome" | "code" | "firstTokenMs" | "gapsMs">,
  ): LoadResult {
    return {
      id: request.id,
      kind: request.kind,
      startedAtMs: sentAtMs - this.#startedAtMs,
      durationMs: performance.now() - sentAtMs,
      ...result,
    };
  }
}

function recordChunk(
  progress: ChatProgress,
  text: string,
  sentAtMs: number,
): void {
  const now = performance.now();
  progress.text += text;
  if (!text.includes('"content"')) {
    return;
  }
  if (progress.firstTokenMs === undefined) {
    progress.firstTokenMs = now - sentAtMs;
  } else {
    progress.gapsMs.push(now - progress.lastTokenAtMs);
  }
  progress.lastTokenAtMs = now;
}

function getChatOutcome(
  request: PlannedRequest,
  progress: ChatProgress,
  responseEnd: { status: number; hasFailed: boolean; sentAtMs: number },
): { outcome: LoadOutcome; code?: string } {
  if (responseEnd.status === 0) {
    return { outcome: "unanswered" };
  }
  if (responseEnd.status !== 200) {
    return getErrorOutcome(progress.text);
  }
  const content = [...progress.text.matchAll(/"content":"([^"]*)"/g)]
    .map((match) => match[1]).join("");
  const expectedContent = getExpectedTokens(
    [{ role: "user", content: request.content }],
    MAX_OUTPUT_TOKENS,
  ).join("");
  const hasEnded = !responseEnd.hasFailed &&
    progress.text.includes("data: [DONE]");
  if (content === expectedContent && hasEnded) {
    return { outcome: getCompleteOutcome(request, responseEnd.sentAtMs) };
  }
  const code = /"code":"([^"]*)"/.exec(progress.text)?.[1];
  return {
    outcome: expectedContent.startsWith(content) ? "cut" : "wrong",
    code,
  };
}

function getCompleteOutcome(
  request: PlannedRequest,
  sentAtMs: number,
): LoadOutcome {
  const isLate = performance.now() - sentAtMs > request.deadlineMs;
  return isLate ? "late" : "whole";
}

function getErrorOutcome(
  body: string,
): { outcome: LoadOutcome; code?: string } {
  try {
    const { error } = JSON.parse(body) as {
      error: { code: string; verdict: string };
    };
    return {
      outcome: error.verdict === "not-run" ? "refused" : "uncertain",
      code: error.code,
    };
  } catch {
    return { outcome: "unanswered" };
  }
}
