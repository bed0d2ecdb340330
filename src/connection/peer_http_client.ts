import { reportMissingResponse } from "../shared/errors.ts";
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";

/** Options of a request, as the tRPC link passes them. */
export interface PeerRequestInit {
  readonly method?: string;
  readonly body?: unknown;
  /** Time limit of the complete request in milliseconds. */
  readonly timeoutMs: number;
}

/** Response, with the properties of a `fetch` response that the tRPC link reads. */
export interface PeerResponse {
  readonly status: number;
  readonly ok: boolean;
  json(): Promise<unknown>;
}

/** Function that sends a request to a peer port. It replaces `fetch` in the tRPC link. */
export type PeerFetch = (
  url: string,
  init: PeerRequestInit,
) => Promise<PeerResponse>;

/** Time without activity after which a pooled connection is closed, in milliseconds. */
const IDLE_SOCKET_TIMEOUT_MS = 30_000;

/** Default of the maximum size of a response body, in bytes. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** HTTP client that sends few headers. The headers that `fetch` of Node.js sends are longer than the messages between daemons. */
export class PeerHttpClient {
  readonly #maxResponseBytes: number;
  readonly #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: 1,
    timeout: IDLE_SOCKET_TIMEOUT_MS,
  });

  /**
   * Creates a client.
   *
   * @param options - Maximum size of a response body in bytes.
   */
  constructor(options: { maxResponseBytes?: number } = {}) {
    this.#maxResponseBytes = options.maxResponseBytes ?? MAX_RESPONSE_BYTES;
  }

  /**
   * Sends a request.
   *
   * @param url - URL to request.
   * @param init - Method, body and time limit of the request. The limit is a number because a timer costs less than an abort signal.
   * @throws When no complete response arrives within the time limit.
   */
  request(url: string, init: PeerRequestInit): Promise<PeerResponse> {
    const body = typeof init.body === "string" ? init.body : undefined;
    return new Promise((resolve, reject) => {
      const clientRequest = reportMissingResponse(request(url, {
        agent: this.#agent,
        method: init.method ?? "GET",
        headers: body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      }, (response) => {
        readText(response, this.#maxResponseBytes).then((text) => {
          const status = response.statusCode ?? 0;
          resolve({
            status,
            ok: status >= 200 && status < 300,
            json: () => Promise.resolve().then(() => JSON.parse(text)),
          });
        }, reject);
      }));
      const timer = setTimeout(
        () =>
          clientRequest.destroy(
            new Error(`No response arrived within ${init.timeoutMs} ms`),
          ),
        init.timeoutMs,
      );
      clientRequest.on("error", reject);
      clientRequest.on("close", () => clearTimeout(timer));
      clientRequest.end(body);
    });
  }

  /** Closes the idle connections. */
  dispose(): void {
    this.#agent.destroy();
  }
}

/** Reads the body; leaving the loop early closes the connection. */
async function readText(
  response: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  for await (const chunk of response) {
    byteCount += chunk.length;
    if (byteCount > maxBytes) {
      throw new Error(`The response body is larger than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
