import type { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { connect, type Socket } from "node:net";
import { type OptionsInit, RequestError, TimeoutError } from "got";
import { getErrorMessage } from "../shared/errors.ts";
import { isFinalStatus, parseAddress } from "./backend_transport.ts";
import { httpClient } from "./http_client.ts";

/** Time limit for establishing a connection to a backend server, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum length of a response body, in bytes. */
const MAX_RESPONSE_BYTES = 4_194_304;
/** Maximum number of idle connections kept open to each backend server. */
const MAX_IDLE_CONNECTIONS = 16;

/** One attempt to send a service call to a backend server. */
export interface ServiceAttempt {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  readonly idempotencyKey: string | undefined;
  readonly requestId: string;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Whether the call may be retried after any failure. Only such a call may use a pooled connection. */
  readonly isRepeatable: boolean;
  /** Called when a new connection is open, immediately before the first byte is sent. An error that it throws stops the attempt and is rethrown by `send`. It is not called for a repeatable call. */
  readonly checkBeforeSend?: () => void;
}

/** Response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly location: string | undefined;
  readonly body: Buffer;
}

/** Failure of an attempt to send a service call. */
export class ServiceCallError extends Error {
  override readonly name = "ServiceCallError";
  /** Whether any byte of the call may have reached the backend server. */
  readonly isSent: boolean;
  readonly isTimeout: boolean;

  constructor(
    message: string,
    options: { isSent: boolean; isTimeout?: boolean; cause?: unknown },
  ) {
    super(message, { cause: options.cause });
    this.isSent = options.isSent;
    this.isTimeout = options.isTimeout ?? false;
  }
}

/** HTTP client of the plain services. */
export class ServiceClient {
  readonly #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
  });

  /**
   * Sends one attempt.
   *
   * A call that is not repeatable is sent on a new connection. The server may close a pooled connection while the call is being written, which would leave the outcome of the call unknown.
   *
   * @param attempt - Call, its target and its limits.
   * @throws {ServiceCallError} When no valid response arrives.
   */
  async send(attempt: ServiceAttempt): Promise<ServiceResponse> {
    if (attempt.isRepeatable) {
      return await sendWithOptions(attempt, { agent: { http: this.#agent } });
    }
    const socket = await openConnection(attempt);
    let checkError: unknown;
    const getCheckedSocket = () => {
      try {
        attempt.checkBeforeSend?.();
        return socket;
      } catch (error) {
        checkError = error;
        throw error;
      }
    };
    try {
      return await sendWithOptions(attempt, {
        createConnection: getCheckedSocket,
      });
    } catch (error) {
      throw checkError ?? error;
    } finally {
      socket.destroy();
    }
  }

  /** Closes the idle connections. */
  dispose(): void {
    this.#agent.destroy();
  }
}

async function sendWithOptions(
  attempt: ServiceAttempt,
  options: Pick<OptionsInit, "agent" | "createConnection">,
): Promise<ServiceResponse> {
  const sizeLimitController = new AbortController();
  try {
    const responsePromise = httpClient(
      `http://${attempt.address}${attempt.path}`,
      {
        ...options,
        method: attempt.method as "GET",
        allowGetBody: true,
        body: attempt.body,
        headers: {
          "content-type": attempt.contentType,
          "idempotency-key": attempt.idempotencyKey,
          "x-request-id": attempt.requestId,
        },
        responseType: "buffer",
        throwHttpErrors: false,
        // Following a redirect would send the call a second time.
        followRedirect: false,
        decompress: false,
        retry: { limit: 0 },
        timeout: { request: attempt.timeoutMs },
        signal: AbortSignal.any([attempt.signal, sizeLimitController.signal]),
      },
    );
    responsePromise.on("downloadProgress", (progress) => {
      if (progress.transferred > MAX_RESPONSE_BYTES) {
        sizeLimitController.abort();
      }
    });
    const response = await responsePromise;
    if (!isFinalStatus(response.statusCode)) {
      throw new Error(`The response has status ${response.statusCode}`);
    }
    return {
      status: response.statusCode,
      contentType: response.headers["content-type"],
      location: response.headers.location,
      body: response.body,
    };
  } catch (error) {
    const message = sizeLimitController.signal.aborted
      ? `The response is larger than ${MAX_RESPONSE_BYTES} bytes`
      : getErrorMessage(error);
    throw new ServiceCallError(message, {
      isSent: !(error instanceof RequestError) ||
        error.code !== "ECONNREFUSED",
      isTimeout: error instanceof TimeoutError,
      cause: error,
    });
  }
}

/** Opens a connection to the backend server without sending any byte of the call. */
function openConnection(attempt: ServiceAttempt): Promise<Socket> {
  const socket = connect({
    ...parseAddress(attempt.address),
    noDelay: true,
  });
  return new Promise((resolve, reject) => {
    const abandon = (message: string) => {
      clearTimeout(timer);
      attempt.signal.removeEventListener("abort", onAbort);
      socket.destroy();
      reject(new ServiceCallError(message, { isSent: false }));
    };
    const onAbort = () =>
      abandon("The attempt was aborted before the connection was established");
    const timer = setTimeout(
      () => abandon("Connecting to the backend server timed out"),
      Math.min(CONNECT_TIMEOUT_MS, attempt.timeoutMs),
    );
    const onError = (error: Error) => abandon(error.message);
    socket.once("error", onError);
    // An error that occurs before `got` adds its own listener would otherwise end the process. `got` then fails because the socket is destroyed.
    socket.on("error", () => {});
    socket.once("connect", () => {
      clearTimeout(timer);
      attempt.signal.removeEventListener("abort", onAbort);
      socket.removeListener("error", onError);
      resolve(socket);
    });
    if (attempt.signal.aborted) {
      onAbort();
      return;
    }
    attempt.signal.addEventListener("abort", onAbort, { once: true });
  });
}
