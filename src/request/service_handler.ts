import type { Buffer } from "node:buffer";
import got from "got";
import type { DaemonContext } from "../process/daemon_context.ts";
import { getErrorMessage, RequestError } from "../shared/errors.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import type { RequestContext } from "./request_context.ts";

/** Call of a plain service. */
export interface ServiceCall {
  readonly service: string;
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  /** Path below the service, with the query. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  readonly idempotencyKey: string | undefined;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** Runs one call of a plain service. */
export class ServiceHandler {
  readonly #context: DaemonContext;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /**
   * Sends a call to a backend server of its service.
   *
   * @param call - Call of the caller.
   * @param request - What the request carries along.
   * @throws {RequestError} When the call is refused or its outcome is unknown.
   */
  async handle(
    call: ServiceCall,
    request: RequestContext,
  ): Promise<ServiceAnswer> {
    const service = this.#getServiceOrThrow(call.service);
    const backend = service.backends
      .find((b) => this.#context.zonePolicy.takesNewWork(b.zone));
    if (backend === undefined) {
      throw new RequestError(
        `No backend server of service "${service.name}" is in service`,
        { code: "no-capacity", verdict: "not-run", status: 503 },
      );
    }
    try {
      const answer = await got(`http://${backend.address}${call.path}`, {
        method: call.method,
        body: call.body,
        headers: {
          "content-type": call.contentType,
          "idempotency-key": call.idempotencyKey,
          "x-request-id": request.requestId,
        },
        responseType: "buffer",
        throwHttpErrors: false,
        retry: { limit: 0 },
        timeout: { request: service.timeoutMs },
        signal: request.signal,
      });
      return {
        status: answer.statusCode,
        contentType: answer.headers["content-type"],
        body: answer.body,
      };
    } catch (error) {
      throw new RequestError(
        `The call of service "${service.name}" has no answer: ${
          getErrorMessage(error)
        }`,
        {
          code: "backend-failed",
          verdict: "may-have-run",
          status: 502,
          cause: error,
        },
      );
    }
  }

  #getServiceOrThrow(name: string): ServiceConfig {
    const document = this.#context.configHolder.getCurrent()?.document;
    const service = document?.services.find((s) => s.name === name);
    if (service === undefined) {
      throw new RequestError(`The service "${name}" does not exist`, {
        code: "unknown-service",
        verdict: "not-run",
        status: 404,
      });
    }
    return service;
  }
}
