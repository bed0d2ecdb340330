import { type ClientRequest, request as sendRequest } from "node:http";
import type { Daemon } from "../../src/process/daemon.ts";
import { TEST_API_KEY, TEST_MODEL } from "./test_deployment.ts";

/** Streamed chat completion as a caller receives it. */
export class CallerStream {
  /** HTTP status, or undefined before the response headers arrive. */
  status: number | undefined;
  text = "";
  hasEnded = false;
  readonly #req: ClientRequest;
  readonly #finished: Promise<void>;

  private constructor(
    daemon: Daemon,
    options: { content: string; reads: boolean; maxTokens: number },
  ) {
    let finish = () => {};
    this.#finished = new Promise((resolve) => finish = resolve);
    this.#req = sendRequest(
      `http://${daemon.callerAddress}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${TEST_API_KEY}`,
        },
      },
      (res) => {
        this.status = res.statusCode;
        res.on("error", () => undefined);
        res.on("close", () => {
          this.hasEnded = true;
          finish();
        });
        if (!options.reads) {
          res.pause();
          this.#resume = () => {
            res.on("data", (data) => this.text += String(data));
            res.resume();
          };
          return;
        }
        res.on("data", (data) => this.text += String(data));
      },
    );
    this.#req.on("error", () => {
      this.hasEnded = true;
      finish();
    });
    this.#req.end(JSON.stringify({
      model: TEST_MODEL,
      messages: [{ role: "user", content: options.content }],
      max_tokens: options.maxTokens,
      stream: true,
    }));
  }

  #resume = () => {};

  /**
   * Sends a streamed chat request.
   *
   * @param daemon - Daemon that receives the request.
   * @param options - Content of the user message, whether the caller reads the response from the start, and the token limit.
   */
  static open(
    daemon: Daemon,
    options: { content: string; reads?: boolean; maxTokens?: number },
  ): CallerStream {
    return new CallerStream(daemon, {
      reads: true,
      maxTokens: 100_000,
      ...options,
    });
  }

  /** Gets the concatenated content of the events read so far. */
  get receivedContent(): string {
    return this.#getEvents().map((e) => e.choices?.[0]?.delta?.content ?? "")
      .join("");
  }

  /** Gets the error of the first error event, or undefined without one. */
  get error(): { code: string; verdict: string } | undefined {
    return this.#getEvents().find((e) => e.error !== undefined)?.error;
  }

  /** Starts reading a response that was opened with `reads: false`. */
  resume(): void {
    this.#resume();
  }

  /** Closes the connection as a caller that gives up. */
  close(): void {
    this.#req.destroy();
  }

  /** Waits until the response has ended or the connection has failed. */
  async waitUntilEnded(): Promise<this> {
    await this.#finished;
    return this;
  }

  #getEvents(): CallerEvent[] {
    return this.text.split("\n\n")
      .slice(0, -1)
      .filter((event) => event !== "data: [DONE]")
      .map((event) => JSON.parse(event.slice("data: ".length)));
  }
}

interface CallerEvent {
  choices?: { delta?: { content?: string } }[];
  error?: { code: string; verdict: string };
}
