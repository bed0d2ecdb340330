import { createHash } from "node:crypto";
import type { Request, Response } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { RequestContext } from "../request/request_context.ts";
import { RequestError } from "../shared/errors.ts";
import type { ClientAccountConfig } from "../version/config_schema.ts";

/**
 * Creates the context of a caller's request from its headers.
 *
 * @throws {RequestError} When the API key belongs to no client account.
 */
export function createRequestContext(
  context: DaemonContext,
  req: Request,
  res: Response,
): RequestContext {
  const abortController = new AbortController();
  res.on("close", () => abortController.abort());
  const deadlineMs = Number(req.header("x-deadline-ms"));
  const durationMs = deadlineMs > 0
    ? deadlineMs
    : context.settings.defaultDeadlineMs;
  return {
    requestId: String(res.locals.requestId),
    account: getAccountOrThrow(context, req),
    deadlineAtMs: performance.now() + durationMs,
    signal: abortController.signal,
  };
}

function getAccountOrThrow(
  context: DaemonContext,
  req: Request,
): ClientAccountConfig {
  const key = /^Bearer (.+)$/.exec(req.header("authorization") ?? "")?.[1];
  const digest = createHash("sha256").update(key ?? "").digest("hex");
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
