import { reportMissingResponse } from "../shared/errors.ts";
import got, { type Options } from "got";
import { type ClientRequest, type IncomingMessage, request } from "node:http";

/** HTTP client whose calls also settle when the server switches to another protocol in place of a response. */
export const httpClient = got.extend({ request: sendRequest });

function sendRequest(
  url: URL,
  options: Parameters<NonNullable<Options["request"]>>[1],
  onResponse?: (response: IncomingMessage) => void,
): ClientRequest {
  return reportMissingResponse(request(url, options, onResponse));
}
