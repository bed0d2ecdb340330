import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { Buffer } from "node:buffer";
import {
  type AnyTRPCRouter,
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
} from "@trpc/server";
import { getErrorMessage } from "../shared/errors.ts";
import { ChunkReader } from "../shared/chunk_reader.ts";

/** Maximum size of the input of a call, in bytes. */
const MAX_INPUT_BYTES = 8_388_608;

/** Statuses of the responses to failed calls, by error code; other codes get `500`. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  BAD_REQUEST: 400,
  NOT_FOUND: 404,
  PAYLOAD_TOO_LARGE: 413,
};

/**
 * Creates an HTTP request listener that calls the procedures of a tRPC router. The adapter that tRPC has for Node.js creates the request, the response and the streams of the Fetch standard for each call, which costs several times the processor time of a call between daemons.
 *
 * @param router - Router whose queries and mutations are called, without a context.
 */
export function createTrpcListener(router: AnyTRPCRouter): RequestListener {
  return (req, res) => {
    res.sendDate = false;
    handleCall(router, req, res).catch(() => res.destroy());
  };
}

async function handleCall(
  router: AnyTRPCRouter,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const [pathname, query] = (req.url ?? "/").split("?");
  const path = pathname.slice(1);
  const type = req.method === "POST" ? "mutation" : "query";
  let input: unknown;
  try {
    input = type === "mutation"
      ? parseInput(await readText(req))
      : parseInput(new URLSearchParams(query).get("input") ?? "");
    const data: unknown = await callTRPCProcedure({
      router,
      path,
      type,
      getRawInput: () => Promise.resolve(input),
      ctx: {},
      signal: undefined,
      batchIndex: 0,
    });
    sendJson(res, 200, { result: { data } });
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    const { _config: config } = router._def;
    const shape = getTRPCErrorShape({
      config,
      error,
      type,
      path,
      input,
      ctx: {},
    });
    sendJson(res, ERROR_STATUSES[error.code] ?? 500, { error: shape });
  }
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  for await (const chunk of new ChunkReader(req)) {
    byteCount += chunk.length;
    if (byteCount > MAX_INPUT_BYTES) {
      throw new TRPCError({
        code: "PAYLOAD_TOO_LARGE",
        message: `The input is larger than ${MAX_INPUT_BYTES} bytes`,
      });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

function parseInput(text: string): unknown {
  try {
    return text === "" ? undefined : JSON.parse(text);
  } catch (error) {
    throw new TRPCError({
      code: "BAD_REQUEST",
      message: `The input is not JSON: ${getErrorMessage(error)}`,
    });
  }
}

function sendJson(res: ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
