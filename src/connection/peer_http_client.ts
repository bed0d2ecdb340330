import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";

/** Request as the tRPC link makes it. */
export interface PeerRequestInit {
  readonly method?: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** Answer as the tRPC link reads it. */
export interface PeerResponse {
  readonly status: number;
  readonly ok: boolean;
  json(): Promise<unknown>;
}

/** Sends requests to a peer port: stands in for `fetch`. */
export type PeerFetch = (
  url: string,
  init: PeerRequestInit,
) => Promise<PeerResponse>;

const IDLE_SOCKET_TIMEOUT_MS = 30_000;

/** HTTP client with few headers: those of the runtime's `fetch` are longer than an exchange. */
export class PeerHttpClient {
  readonly #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: 1,
    timeout: IDLE_SOCKET_TIMEOUT_MS,
  });

  /**
   * Sends a request.
   *
   * @param url - URL of the procedure.
   * @param init - Method, body and time limit of the whole call. A timer costs less than an abort signal.
   * @throws When the peer does not answer.
   */
  request(url: string, init: PeerRequestInit): Promise<PeerResponse> {
    const body = typeof init.body === "string" ? init.body : undefined;
    return new Promise((resolve, reject) => {
      const clientRequest = request(url, {
        agent: this.#agent,
        method: init.method ?? "GET",
        headers: body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      }, (response) => {
        readText(response).then((text) => {
          const status = response.statusCode ?? 0;
          resolve({
            status,
            ok: status >= 200 && status < 300,
            json: () => Promise.resolve().then(() => JSON.parse(text)),
          });
        }, reject);
      });
      const timer = setTimeout(
        () =>
          clientRequest.destroy(
            new Error(`The peer did not answer within ${init.timeoutMs} ms`),
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

async function readText(response: IncomingMessage): Promise<string> {
  response.setEncoding("utf8");
  let text = "";
  for await (const chunk of response) {
    text += chunk;
  }
  return text;
}
