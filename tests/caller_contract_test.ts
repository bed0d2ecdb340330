import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { gzipSync } from "node:zlib";
import got from "got";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { ServiceDeployment } from "./support/service_deployment.ts";
import { TEST_API_KEY, waitUntil } from "./support/test_deployment.ts";

const BODY_TIMEOUT_MS = 700;
const MAX_BODY_BYTES = 2_048;
const MAX_CONNECTIONS = 24;
const CHAT_PATH = "/v1/chat/completions";
const VISITS_PATH = "/services/bookings/visits";
const AUTHORIZATION = `Bearer ${TEST_API_KEY}`;

/** Invalid request and the refusal that the caller contract requires. */
interface RefusalCase {
  readonly name: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  readonly status: number;
  readonly code: string;
}

/** Invalid request as raw bytes, and the refusal that the caller contract requires. */
interface RawCase {
  readonly name: string;
  readonly bytes: string;
  readonly status: number;
  readonly code: string;
}

const REFUSALS: readonly RefusalCase[] = [
  {
    name: "malformed JSON",
    path: CHAT_PATH,
    headers: { "content-type": "application/json" },
    body: '{"model": ',
    status: 400,
    code: "bad-request",
  },
  {
    name: "a JSON body of the wrong type",
    path: CHAT_PATH,
    headers: { "content-type": "application/json" },
    body: '{"model": 7, "messages": "hello"}',
    status: 400,
    code: "bad-request",
  },
  {
    name: "a chat request that is not JSON",
    path: CHAT_PATH,
    headers: { "content-type": "text/plain" },
    body: "hello",
    status: 400,
    code: "bad-request",
  },
  {
    name: "an unknown model",
    path: CHAT_PATH,
    headers: { "content-type": "application/json" },
    body: '{"model": "no", "messages": [{"role": "user", "content": "a"}]}',
    status: 404,
    code: "unknown-model",
  },
  {
    name: "an oversized chat request",
    path: CHAT_PATH,
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ model: "x".repeat(MAX_BODY_BYTES) }),
    status: 413,
    code: "body-too-large",
  },
  {
    name: "an oversized service body",
    path: VISITS_PATH,
    body: "x".repeat(MAX_BODY_BYTES + 1),
    status: 413,
    code: "body-too-large",
  },
  {
    name: "a compressed service body",
    path: VISITS_PATH,
    headers: { "content-encoding": "gzip" },
    body: gzipSync("hotel"),
    status: 415,
    code: "bad-request",
  },
  {
    name: "an unknown service",
    path: "/services/no/visits",
    status: 404,
    code: "unknown-service",
  },
  {
    name: "an invalid escape in a path",
    path: "/services/%zz/visits",
    status: 400,
    code: "bad-request",
  },
  { name: "an unknown path", path: "/no", status: 404, code: "not-found" },
  {
    name: "an unsupported method",
    path: VISITS_PATH,
    method: "OPTIONS",
    status: 405,
    code: "bad-request",
  },
  {
    name: "an unknown API key",
    path: VISITS_PATH,
    headers: { authorization: "Bearer no" },
    status: 401,
    code: "unauthorized",
  },
  {
    name: "an oversized idempotency key",
    path: VISITS_PATH,
    headers: { "idempotency-key": "x".repeat(256) },
    status: 400,
    code: "bad-request",
  },
  {
    name: "an empty idempotency key",
    path: VISITS_PATH,
    headers: { "idempotency-key": "" },
    status: 400,
    code: "bad-request",
  },
  ...["abc", "0", "-1", "1.5", "1e3", "99999999999999999999", "3600001"].map((
    value,
  ) => ({
    name: `the deadline ${value}`,
    path: VISITS_PATH,
    headers: { "x-deadline-ms": value },
    status: 400,
    code: "bad-request",
  })),
  {
    name: "an invalid attempt number",
    path: VISITS_PATH,
    headers: { "x-attempt": "second" },
    status: 400,
    code: "bad-request",
  },
];

const REQUEST_HEAD = `POST ${VISITS_PATH} HTTP/1.1\r\nhost: a\r\n` +
  `authorization: ${AUTHORIZATION}\r\n`;
const RAW_CASES: readonly RawCase[] = [
  {
    name: "two idempotency keys",
    bytes:
      `${REQUEST_HEAD}idempotency-key: a\r\nidempotency-key: b\r\ncontent-length: 0\r\n\r\n`,
    status: 400,
    code: "bad-request",
  },
  {
    name: "bytes that are not HTTP",
    bytes: "\x16\x03\x01 hello\r\n\r\n",
    status: 400,
    code: "bad-request",
  },
  {
    name: "headers beyond the size limit",
    bytes: REQUEST_HEAD + "x-flood: 0123456789\r\n".repeat(2_000),
    status: 431,
    code: "headers-too-large",
  },
  {
    name: "both content-length and transfer-encoding",
    bytes:
      `${REQUEST_HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    status: 400,
    code: "bad-request",
  },
  {
    name: "a connection that sends nothing",
    bytes: "",
    status: 408,
    code: "request-timeout",
  },
  {
    name: "incomplete headers",
    bytes: REQUEST_HEAD,
    status: 408,
    code: "request-timeout",
  },
  {
    name: "a body that never arrives",
    bytes: `${REQUEST_HEAD}idempotency-key: slow\r\ncontent-length: 10\r\n\r\n`,
    status: 408,
    code: "request-timeout",
  },
  {
    name: "an incomplete body",
    bytes:
      `${REQUEST_HEAD}idempotency-key: slow\r\ncontent-length: 10\r\n\r\nhello`,
    status: 408,
    code: "request-timeout",
  },
];

describe("caller port", () => {
  let deployment: ServiceDeployment;
  let address: string;

  beforeAll(async () => {
    deployment = await ServiceDeployment.start({
      daemons: 1,
      settings: {
        bodyTimeoutMs: BODY_TIMEOUT_MS,
        maxBodyBytes: MAX_BODY_BYTES,
        maxConnections: MAX_CONNECTIONS,
      },
    });
    address = deployment.daemons[0].callerAddress;
  });

  afterEach(async () => {
    // A refused request must leave neither an open request nor a service run nor a claim.
    const { gracefulStop } = deployment.daemons[0].context;
    await waitUntil(() => gracefulStop.getRequestCount() === 0);
    expect(deployment.service.runs).toEqual([]);
    expect(deployment.platform.getObjects("claim")).toEqual([]);
  });

  afterAll(async () => {
    await deployment.dispose();
  });

  // Guards against error bodies that callers cannot parse, and against invalid requests that reach the service.
  it.each(REFUSALS)("refuses $name", async (refusalCase) => {
    const response = await got(`http://${address}${refusalCase.path}`, {
      method: (refusalCase.method ?? "POST") as "POST",
      headers: { authorization: AUTHORIZATION, ...refusalCase.headers },
      body: refusalCase.body,
      throwHttpErrors: false,
      retry: { limit: 0 },
    });
    expect(response.statusCode).toBe(refusalCase.status);
    checkErrorBody(response.body, {
      code: refusalCase.code,
      requestId: String(response.headers["x-request-id"]),
    });
  });

  // Guards against connections that faulty or slow callers keep open.
  it.each(RAW_CASES)(
    "returns an error in time after $name",
    async (rawCase) => {
      const startedAtMs = performance.now();
      const text = await sendRaw(address, { bytes: rawCase.bytes });
      expect(performance.now() - startedAtMs).toBeLessThan(
        BODY_TIMEOUT_MS + 2_000,
      );
      const [head, body] = text.split("\r\n\r\n", 2);
      expect(head).toContain(`HTTP/1.1 ${rawCase.status} `);
      checkErrorBody(body, {
        code: rawCase.code,
        requestId: /x-request-id: (\S+)/i.exec(head)?.[1],
      });
    },
  );

  // Guards against requests that stay open after the caller has half-closed its connection.
  it("ends the request of a half-closed connection", async () => {
    await sendRaw(address, {
      bytes:
        `${REQUEST_HEAD}idempotency-key: half\r\ncontent-length: 10\r\n\r\nhel`,
      halfClose: true,
    });
  });

  // Guards against idle connections that use up memory and file descriptors.
  it("closes connections beyond the limit and serves requests afterwards", async () => {
    const sockets: Socket[] = [];
    let closedCount = 0;
    for (let index = 0; index < MAX_CONNECTIONS + 10; index++) {
      const socket = openSocket(address);
      socket.resume().on("end", () => socket.destroy());
      socket.on("close", () => closedCount++);
      sockets.push(socket);
    }
    // Checked before the header timeout, which closes the connections within the limit as well.
    await waitUntil(() => closedCount >= 10, BODY_TIMEOUT_MS / 2);
    for (const socket of sockets) {
      socket.destroy();
    }
    await waitUntil(async () => {
      const response = await got(`http://${address}/v1/models`, {
        throwHttpErrors: false,
        retry: { limit: 0 },
      }).catch(() => undefined);
      return response?.statusCode === 200;
    });
  });
});

function checkErrorBody(
  text: string,
  expected: { code: string | undefined; requestId: string | undefined },
): void {
  const body = JSON.parse(text);
  expect(Object.keys(body)).toEqual(["error"]);
  expect(body.error).toEqual({
    code: expected.code,
    message: expect.stringMatching(/^.{10,}$/),
    verdict: "not-run",
    retryAfterMs: null,
    requestId: expected.requestId,
  });
  expect(expected.requestId).toMatch(/^[\w.-]{1,64}$/);
}

function openSocket(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  socket.on("error", () => {});
  return socket;
}

/** Sends bytes and reads until the daemon closes the connection or a whole error body has arrived. */
async function sendRaw(
  address: string,
  options: { bytes: string; halfClose?: boolean },
): Promise<string> {
  const socket = openSocket(address);
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  socket.write(options.bytes);
  if (options.halfClose) {
    socket.end();
  }
  const connectionClosed = new AbortController();
  socket.on("end", () => connectionClosed.abort());
  socket.on("close", () => connectionClosed.abort());
  // A response with keep-alive leaves the connection open, so the end of the error body ends the wait as well.
  socket.on("data", () => {
    if (text.includes("}}")) {
      connectionClosed.abort();
    }
  });
  if (await delay(5_000, connectionClosed.signal)) {
    throw new Error(
      "The daemon neither responded nor closed the connection in time.",
    );
  }
  socket.destroy();
  if (!socket.closed) {
    await once(socket, "close");
  }
  return text;
}
