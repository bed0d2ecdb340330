import { EngineError } from "../connection/engine_client.ts";

/** Number of failed attempts after which a request fails. */
export const MAX_FAILED_ATTEMPTS = 4;
/** Number of declined attempts after which a request fails. Such attempts are cheap, and several may follow one another until the monitors detect the loss of a group. */
export const MAX_DECLINED_ATTEMPTS = 32;

/** Gets whether the engine refused the request or could not be reached. */
export function isDeclined({ kind }: EngineError): boolean {
  return kind === "refused" || kind === "unreachable";
}

/** Creates the error of a response that ended without its last chunk. */
export function createEarlyEndError(): EngineError {
  return new EngineError("The engine ended the stream early", {
    verdict: "may-have-run",
    kind: "lost",
  });
}
