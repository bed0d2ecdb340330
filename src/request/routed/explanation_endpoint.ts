import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { RouteExplainer } from "./route_explainer.ts";

/** Path of the endpoint on the metrics port. */
export const EXPLANATION_PATH = "/explain-route";
/** Maximum length of a parameter in characters. */
const MAX_PARAMETER_LENGTH = 2_048;

const parameter = z.string().min(1).max(MAX_PARAMETER_LENGTH);
const querySchema = z.strictObject({
  host: parameter,
  path: parameter.startsWith("/"),
  account: parameter.optional(),
  model: parameter.optional(),
});

/**
 * Answers requests for the destination of a request.
 *
 * @param explainer - Explainer of the daemon.
 * @returns Whether the request was for this endpoint.
 */
export function handleExplanation(
  explainer: RouteExplainer,
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  const url = new URL(request.url ?? "/", "http://daemon");
  if (request.method !== "GET" || url.pathname !== EXPLANATION_PATH) {
    return false;
  }
  const query = querySchema.safeParse(Object.fromEntries(url.searchParams));
  const body = query.success
    ? explainer.describeRoute(query.data)
    : { message: z.prettifyError(query.error) };
  response.writeHead(query.success ? 200 : 400, {
    "content-type": "application/json",
  });
  response.end(JSON.stringify(body));
  return true;
}
