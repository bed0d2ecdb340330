import { createHash } from "node:crypto";
import type { Request, Response } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { RequestContext } from "../request/request_context.ts";
import { RequestError } from "../shared/errors.ts";
import type { ClientAccountConfig } from "../version/config_schema.ts";

const MAX_DEADLINE_MS = 3_600_000;

/**
 * Creates what a request carries along its way.
 *
 * @param context - Parts of the daemon.
 * @param exchange - Request and response of the caller.
 * @throws {RequestError} When the caller belongs to no client account.
 */
export function createRequestContext(
  context: DaemonContext,
  exchange: { req: Request; res: Response },
): RequestContext {
  const { req, res } = exchange;
  const abortController = new AbortController();
  // An abort costs the stack trace of its reason, so it is left out after a whole answer.
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
 * Gets a header that holds a whole number from 1, or undefined when it is not given.
 *
 * @param req - Request of the caller.
 * @param rule - Name of the header and its largest value.
 * @throws {RequestError} When the header is invalid.
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
