import {
  ServiceClient,
  type ServiceResponse,
} from "../connection/service_client.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { RequestError } from "../shared/errors.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import { BackendPool } from "./backend_pool.ts";
import { getCallClass } from "./call_class.ts";
import { ClaimedCallHandler } from "./claimed_call_handler.ts";
import { checkFreshness } from "./freshness_check.ts";
import type { RequestContext } from "./request_context.ts";
import type { ServiceCall } from "./service_call.ts";
import { ServiceDispatcher } from "./service_dispatcher.ts";

/** Handles calls to services. */
export class ServiceHandler {
  readonly #context: DaemonContext;
  readonly #dispatcher: ServiceDispatcher;
  readonly #claimedCallHandler: ClaimedCallHandler;

  constructor(context: DaemonContext) {
    this.#context = context;
    this.#dispatcher = new ServiceDispatcher({
      pool: new BackendPool(context),
      client: context.lifeCycle.add(new ServiceClient()),
      retryBudget: context.retryBudget,
      events: context.events,
    });
    this.#claimedCallHandler = new ClaimedCallHandler(
      context,
      this.#dispatcher,
    );
  }

  /**
   * Sends a call to a backend server of its service. A non-repeatable call with an idempotency key is sent under a claim, so that it runs at most once.
   *
   * @param call - Call to send.
   * @param request - Id, account, deadline and abort signal of the request.
   * @throws {RequestError} When the call is refused or its outcome is unknown.
   */
  async handle(
    call: ServiceCall,
    request: RequestContext,
  ): Promise<ServiceResponse> {
    checkFreshness(this.#context.freshness);
    const service = this.#getServiceOrThrow(call.service);
    const callClass = getCallClass(service, call);
    if (callClass === "non-repeatable" && call.idempotencyKey !== undefined) {
      const key = call.idempotencyKey;
      return await this.#claimedCallHandler.handle({
        service,
        call,
        key,
        request,
      });
    }
    return await this.#dispatcher.send({
      service,
      call,
      callClass,
      requestId: request.requestId,
      deadlineAtMs: request.deadlineAtMs,
      signal: request.signal,
    });
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
