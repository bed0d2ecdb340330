import { createHash } from "node:crypto";
import type { Request, Response } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { RequestContext } from "../request/request_context.ts";
import { RequestError } from "../shared/errors.ts";
import type { ClientAccountConfig } from "../version/config_schema.ts";

/** Maximum time that a caller may request in `x-deadline-ms`, in milliseconds. */
const MAX_DEADLINE_MS = 3_600_000;

/**
 * Creates the context of a request: its id, client account, deadline and abort signal.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 * @param exchange - HTTP request of the caller and the response to it.
 * @throws {RequestError} When the API key belongs to no client account or the `x-deadline-ms` header is invalid.
 */
export function createRequestContext(
  context: DaemonContext,
  exchange: { req: Request; res: Response },
): RequestContext {
  const { req, res } = exchange;
  const abortController = new AbortController();
  // After a complete response the abort is skipped because creating its reason captures a stack trace, which costs CPU time.
  res.on("close", () => {
    if (!res.writableFinished) {
      abortController.abort();
    }
  });
  const durationMs = getIntegerHeader(req, {
    name: "x-deadline-ms",
    max: MAX_DEADLINE_MS,
  }) ?? context.settings.defaultDeadlineMs;
  return {
    requestId: String(res.locals.requestId),
    account: getAccountOrThrow(context, req),
    deadlineAtMs: performance.now() + durationMs,
    signal: abortController.signal,
  };
}

/**
 * Gets the value of a header that has to be a whole number of at least 1, or undefined when the header is missing.
 *
 * @param req - HTTP request of the caller.
 * @param rule - Name of the header and its maximum value.
 * @throws {RequestError} When the value is not a whole number from 1 to the maximum.
 */
export function getIntegerHeader(
  req: Request,
  rule: { name: string; max: number },
): number | undefined {
  const text = req.header(rule.name);
  if (text === undefined) {
    return undefined;
  }
  const value = /^\d{1,15}$/.test(text) ? Number(text) : 0;
  if (value < 1 || value > rule.max) {
    throw new RequestError(
      `The header ${rule.name} is not a whole number from 1 to ${rule.max}`,
      { code: "bad-request", verdict: "not-run", status: 400 },
    );
  }
  return value;
}

function getAccountOrThrow(
  context: DaemonContext,
  req: Request,
): ClientAccountConfig {
  const apiKey = /^Bearer (.+)$/.exec(req.header("authorization") ?? "")?.[1];
  const digest = createHash("sha256").update(apiKey ?? "").digest("hex");
  const account = context.configHolder.getCurrent()?.document.clientAccounts
    .find((a) => a.apiKeySha256.includes(digest));
  if (account === undefined) {
    throw new RequestError("The API key belongs to no client account", {
      code: "unauthorized",
      verdict: "not-run",
      status: 401,
    });
  }
  return account;
}
