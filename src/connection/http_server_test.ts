import type { IncomingMessage, ServerResponse } from "node:http";
import { constants } from "node:os";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RawCaller } from "../../tests/support/raw_caller.ts";
import { waitUntil } from "../../tests/support/platform_deployment.ts";
import { delay } from "../shared/delay.ts";
import { HttpServer } from "./http_server.ts";

/** Time by which Node.js keeps an idle connection longer than its limit, in milliseconds. */
const NODE_BUFFER_MS = 1_000;
const SHORT_IDLE_MS = 300;
const LONG_IDLE_MS = 4_000;
const HEADER_TIMEOUT_MS = 700;
/** Time after which a request whose headers are incomplete has been refused, in milliseconds. */
const REFUSAL_MS = HEADER_TIMEOUT_MS + 1_000;

/** Time in which a complete request has to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1_500;
/** Time after which a request whose body is incomplete has been refused, in milliseconds. */
const BODY_REFUSAL_MS = REQUEST_TIMEOUT_MS + 1_000;

const GET = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";

describe("HttpServer", () => {
  let server: HttpServer;
  let handleRequest: (req: IncomingMessage, res: ServerResponse) => void;
  const paths: (string | undefined)[] = [];
  const callers: RawCaller[] = [];

  beforeEach(async () => {
    paths.splice(0);
    handleRequest = (_req, res) => {
      res.end("answer");
    };
    server = new HttpServer((req, res) => {
      paths.push(req.url);
      handleRequest(req, res);
    }, { requestTimeoutMs: REQUEST_TIMEOUT_MS, isUnusedTimeIdle: true });
    setIdleTimeout(SHORT_IDLE_MS);
    await server.listen({ host: "127.0.0.1", port: 0 });
  });
  afterEach(async () => {
    callers.splice(0).forEach((caller) => caller.dispose());
    await server.dispose();
  });

  async function openCaller(): Promise<RawCaller> {
    const caller = await RawCaller.open(server.address);
    callers.push(caller);
    return caller;
  }

  /** Sends a request on an open connection, and checks that it is answered. */
  async function checkAnswered(caller: RawCaller): Promise<void> {
    caller.takeReceived();
    caller.write(GET);
    await caller.waitFor("answer", 2_000);
  }

  function setIdleTimeout(idleTimeoutMs: number): void {
    server.setLimits({ headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs });
  }

  // A caller that counts on the new limit lost its connection, and with it the request that it had just sent.
  it("keeps an idle connection for a limit that is raised meanwhile", async () => {
    const caller = await openCaller();
    await checkAnswered(caller);
    setIdleTimeout(LONG_IDLE_MS);
    await delay(LONG_IDLE_MS * 0.8);
    expect(caller.isClosed).toBe(false);
    await checkAnswered(caller);
  });

  // The connection was closed after the lower limit, although the higher one was in force meanwhile.
  it("keeps an idle connection for a limit that is raised and lowered again meanwhile", async () => {
    const caller = await openCaller();
    await checkAnswered(caller);
    setIdleTimeout(LONG_IDLE_MS);
    await delay(100);
    setIdleTimeout(2 * SHORT_IDLE_MS);
    setIdleTimeout(SHORT_IDLE_MS);
    await delay(LONG_IDLE_MS * 0.8);
    expect(caller.isClosed).toBe(false);
    await checkAnswered(caller);
  });

  it("closes a connection that becomes idle after a limit was raised and lowered again", async () => {
    setIdleTimeout(LONG_IDLE_MS);
    setIdleTimeout(SHORT_IDLE_MS);
    await delay(10);
    const caller = await openCaller();
    await checkAnswered(caller);
    await delay(SHORT_IDLE_MS + NODE_BUFFER_MS + 500);
    expect(caller.isClosed).toBe(true);
  });

  it("closes an idle connection after a limit that is raised meanwhile", async () => {
    const caller = await openCaller();
    await checkAnswered(caller);
    setIdleTimeout(2 * NODE_BUFFER_MS);
    await delay(3.5 * NODE_BUFFER_MS);
    expect(caller.isClosed).toBe(true);
  });

  it("keeps an idle connection for a limit that is lowered meanwhile", async () => {
    setIdleTimeout(LONG_IDLE_MS);
    const caller = await openCaller();
    await checkAnswered(caller);
    setIdleTimeout(SHORT_IDLE_MS);
    await delay(LONG_IDLE_MS * 0.8);
    await checkAnswered(caller);
  });

  // The head of a response states the limit in force when its request arrived.
  it("keeps a connection for the limit in its last response", async () => {
    setIdleTimeout(LONG_IDLE_MS);
    handleRequest = (_req, res) => {
      res.writeHead(200);
      res.write("start");
      setTimeout(() => res.end("answer"), 200);
    };
    const caller = await openCaller();
    caller.write(GET);
    await caller.waitFor("start");
    setIdleTimeout(SHORT_IDLE_MS);
    await caller.waitFor("answer");
    expect(caller.received).toContain(
      `Keep-Alive: timeout=${LONG_IDLE_MS / 1_000}`,
    );
    await delay(LONG_IDLE_MS * 0.8);
    expect(caller.isClosed).toBe(false);
    await checkAnswered(caller);
  });

  // Timers run before sockets are read, so that a late event loop closed connections with a request in their receive buffers.
  it("answers a request that arrives in time while the event loop is late", async () => {
    const caller = await openCaller();
    await checkAnswered(caller);
    caller.takeReceived();
    // The kernel receives the request at once; the server reads it after the idle timer has expired.
    caller.write(GET);
    pauseEventLoop(SHORT_IDLE_MS + NODE_BUFFER_MS + 200);
    await caller.waitFor("answer", 2_000);
    expect(caller.errorCode).toBeUndefined();
  });

  // A caller that keeps to the limit of its time was refused.
  it("grants a request the header limit in force when it began", async () => {
    const idleTimeoutMs = SHORT_IDLE_MS;
    server.setLimits({ headerTimeoutMs: 1_400, idleTimeoutMs });
    const caller = await openCaller();
    caller.write("GET / HTTP/1.1\r\n");
    await delay(100);
    server.setLimits({ headerTimeoutMs: 100, idleTimeoutMs });
    await delay(1_000);
    caller.write("host: test\r\n\r\n");
    await caller.waitFor("answer", 1_000);
  });

  it("puts a lowered header limit into force", async () => {
    const idleTimeoutMs = SHORT_IDLE_MS;
    server.setLimits({ headerTimeoutMs: 1_400, idleTimeoutMs });
    server.setLimits({ headerTimeoutMs: 100, idleTimeoutMs });
    await delay(1_500);
    const caller = await openCaller();
    caller.write("GET / HTTP/1.1\r\n");
    await caller.waitFor(" 408 ", 1_000);
  });

  // A caller that opened its connection early read a 408 before it had sent anything.
  it("keeps a connection without a request for the idle limit", async () => {
    setIdleTimeout(LONG_IDLE_MS);
    handleRequest = (_req, res) => {
      // Longer than the time that is left of the idle limit.
      setTimeout(() => res.end("answer"), LONG_IDLE_MS);
    };
    const caller = await openCaller();
    await delay(LONG_IDLE_MS * 0.8);
    expect(caller.received).toBe("");
    expect(caller.isClosed).toBe(false);
    caller.write(GET);
    await caller.waitFor("answer", LONG_IDLE_MS + 1_000);
  });

  it("closes a connection without a request after the idle limit", async () => {
    const caller = await openCaller();
    await waitUntil(
      () => caller.isClosed,
      REQUEST_TIMEOUT_MS + NODE_BUFFER_MS + 1_000,
    );
  });

  it("limits the time of the first headers on a connection that was opened early", async () => {
    setIdleTimeout(LONG_IDLE_MS);
    const caller = await openCaller();
    await delay(REFUSAL_MS + 1_000);
    caller.write("GET / HTTP/1.1\r\n");
    await caller.waitFor(" 408 ", REFUSAL_MS + 2_000);
  });

  // An error that the kernel reports for a new connection ended the process, and with it all requests in flight.
  it("goes on after a connection that cannot be accepted", async () => {
    const { _handle: handle } = server.server as unknown as {
      _handle: { onconnection(status: number): void };
    };
    handle.onconnection(-constants.errno.ENOBUFS);
    await checkAnswered(await openCaller());
  });

  it("refuses a request to open a tunnel", async () => {
    const caller = await openCaller();
    caller.write("CONNECT test:80 HTTP/1.1\r\nhost: test\r\n\r\n");
    await caller.waitFor(" 400 ", 2_000);
    expect(paths).toEqual([]);
  });

  it("answers the requests before one to open a tunnel", async () => {
    handleRequest = (_req, res) => {
      setTimeout(() => res.end("answer"), 200);
    };
    const caller = await openCaller();
    caller.write(`${GET}CONNECT test:80 HTTP/1.1\r\nhost: test\r\n\r\n`);
    await caller.waitFor("answer", 2_000);
    expect(caller.received).toMatch(/^HTTP\/1\.1 200 /);
    await waitUntil(() => caller.isClosed, 2_000);
  });

  it("goes on after a caller that resets its request to open a tunnel", async () => {
    const caller = await openCaller();
    caller.write("CONNECT test:80 HTTP/1.1\r\nhost: test\r\n\r\n");
    await caller.waitFor(" 400 ", 2_000);
    caller.cut();
    await delay(100);
    await checkAnswered(await openCaller());
  });

  it("takes longer headers on a connection that is opened after their limit was raised", async () => {
    server.setLimits({
      maxHeaderBytes: 400_000,
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: SHORT_IDLE_MS,
    });
    const caller = await openCaller();
    caller.write(
      `GET / HTTP/1.1\r\nhost: test\r\nx: ${"x".repeat(300_000)}\r\n\r\n`,
    );
    await caller.waitFor("answer", 2_000);
  });

  // A caller that has closed its side cannot be told from one that has left.
  it("aborts a request in flight whose caller closes its side of the connection", async () => {
    let isAborted = false;
    handleRequest = (_req, res) => {
      res.on("close", () => isAborted = true);
    };
    const caller = await openCaller();
    caller.write(GET);
    caller.close();
    await waitUntil(() => isAborted, 500);
    expect(caller.received).toBe("");
  });

  // A request that was refused with 408 ran when its rest arrived before the connection was closed.
  it("does not handle a request after its refusal", async () => {
    const caller = await openCaller();
    caller.write("GET /late HTTP/1.1\r\n");
    await caller.waitFor(" 408 ", REFUSAL_MS + 2_000);
    caller.write("host: test\r\n\r\n");
    await delay(300);
    expect(paths).toEqual([]);
  });

  // A caller whose request is in flight read the 400 as its answer, and the answer of the request was lost.
  it("answers a complete request in flight when invalid bytes follow it", async () => {
    handleRequest = (_req, res) => {
      setTimeout(() => res.end("answer"), 300);
    };
    const caller = await openCaller();
    caller.write(GET);
    await waitUntil(() => paths.length > 0);
    caller.write("no request\r\n\r\n");
    await caller.waitFor("answer", 2_000);
    expect(caller.received).toMatch(/^HTTP\/1\.1 200 /);
    expect(caller.received).not.toContain(" 400 ");
    await waitUntil(() => caller.isClosed, 3_000);
  });

  it("answers a complete request in flight when the next one times out", async () => {
    handleRequest = (_req, res) => {
      setTimeout(() => res.end("answer"), REFUSAL_MS + 1_000);
    };
    const caller = await openCaller();
    caller.write(`${GET}GET /next HTTP/1.1\r\n`);
    await caller.waitFor("answer", REFUSAL_MS + 3_000);
    expect(caller.received).toMatch(/^HTTP\/1\.1 200 /);
    expect(caller.received).not.toContain(" 408 ");
    expect(paths).toEqual(["/"]);
  });

  it("does not complete the body of a request after its refusal", async () => {
    const bodies: string[] = [];
    handleRequest = (req, res) => {
      let body = "";
      req.on("data", (chunk) => body += String(chunk));
      req.on("error", () => {});
      req.on("end", () => {
        bodies.push(body);
        res.end("answer");
      });
    };
    const caller = await openCaller();
    caller.write(
      "POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 9\r\n\r\nbody",
    );
    await caller.waitFor(" 408 ", BODY_REFUSAL_MS + 2_000);
    caller.write(" rest");
    await delay(300);
    expect(bodies).toEqual([]);
  });

  it("answers all complete requests before invalid bytes", async () => {
    handleRequest = (_req, res) => {
      setTimeout(() => res.end("answer"), 300);
    };
    const caller = await openCaller();
    caller.write(`${GET}${GET}no request\r\n\r\n`);
    await waitUntil(() => caller.isClosed, 3_000);
    expect(caller.received.match(/answer/g)).toHaveLength(2);
    expect(caller.received).not.toContain(" 400 ");
  });

  it("aborts a request in flight whose caller leaves after invalid bytes", async () => {
    let isAborted = false;
    handleRequest = (_req, res) => {
      res.on("close", () => isAborted = true);
    };
    const caller = await openCaller();
    caller.write(GET);
    await waitUntil(() => paths.length > 0);
    caller.write("no request\r\n\r\n");
    await delay(100);
    expect(isAborted).toBe(false);
    caller.close();
    await waitUntil(() => isAborted, 500);
  });
});

function pauseEventLoop(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}
