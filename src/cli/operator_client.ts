import { type Got, RequestError, type Response } from "got";
import { httpClient } from "../connection/http_client.ts";
import type { QuarantinedRequest } from "../process/quarantine_list.ts";
import type {
  RouteExplanation,
  RouteQuery,
} from "../request/routed/route_explanation.ts";
import type { CollectedTimeline } from "../process/timeline_collector.ts";
import type { StatusReport } from "../process/status_report.ts";
import type {
  AcceptResult,
  CheckResult,
} from "../version/config_repository.ts";
import type { VersionedConfig } from "../version/config_schema.ts";
import type { StoredConfig } from "../version/stored_config.ts";
import { CliError } from "./cli_error.ts";

const REQUEST_TIMEOUT_MS = 30_000;

/** Request to accept a document as the new configuration. */
export interface AcceptRequest {
  readonly document: unknown;
  /** Version that the document is based on. */
  readonly baseVersion: number;
  readonly operator: string;
}

/** HTTP client for the operator port of a daemon. */
export class OperatorClient {
  readonly #url: string;
  readonly #got: Got;

  constructor(options: { url: string }) {
    this.#url = options.url;
    this.#got = httpClient.extend({
      prefixUrl: options.url,
      timeout: { request: REQUEST_TIMEOUT_MS },
      retry: { limit: 0 },
      throwHttpErrors: false,
    });
  }

  /** Gets the status of the deployment. */
  getStatus(): Promise<StatusReport> {
    return this.#getJson("api/status");
  }

  /** Gets where a request would go now, as the daemon sees it. */
  getRouteExplanation(query: RouteQuery): Promise<RouteExplanation> {
    const parameters = Object.entries(query).filter(([, value]) =>
      value !== undefined
    );
    return this.#getJson(`explain-route?${new URLSearchParams(parameters)}`);
  }

  /** Gets the configuration in force. */
  async getConfig(): Promise<VersionedConfig> {
    return await this.#getJson("api/config");
  }

  /** Gets earlier versions of the configuration, newest first. */
  async getHistory(): Promise<StoredConfig[]> {
    const body = await this.#getJson<{ entries: StoredConfig[] }>(
      "api/config/history",
    );
    return body.entries;
  }

  /**
   * Checks a document without accepting it.
   *
   * @param document - Parsed document.
   */
  async checkConfig(document: unknown): Promise<CheckResult> {
    const response = await this.#send(() =>
      this.#got.post("api/config/check", { json: { document } })
    );
    return this.#parseBody(response);
  }

  /**
   * Submits a document as the new configuration.
   *
   * @param request - Document, the version that it is based on, and the operator.
   */
  async acceptConfig(request: AcceptRequest): Promise<AcceptResult> {
    const response = await this.#send(() =>
      this.#got.post("api/config/accept", { json: request })
    );
    return this.#parseBody(response);
  }

  /**
   * Gets the timeline of all daemons.
   *
   * @param filter - ID of the request whose events are returned; all events if undefined.
   */
  getTimeline(
    filter: { requestId?: string } = {},
  ): Promise<CollectedTimeline> {
    const query = filter.requestId === undefined
      ? ""
      : `?requestId=${encodeURIComponent(filter.requestId)}`;
    return this.#getJson(`api/timeline${query}`);
  }

  /** Gets the quarantined requests. */
  async getQuarantine(): Promise<QuarantinedRequest[]> {
    const body = await this.#getJson<{ entries: QuarantinedRequest[] }>(
      "api/quarantine",
    );
    return body.entries;
  }

  /**
   * Removes one request, or all, from the quarantine.
   *
   * @param fingerprint - Fingerprint of the request; all requests if undefined.
   * @returns The number of removed entries.
   */
  async clearQuarantine(fingerprint?: string): Promise<number> {
    const path = fingerprint === undefined
      ? "api/quarantine"
      : `api/quarantine/${encodeURIComponent(fingerprint)}`;
    const response = await this.#send(() => this.#got.delete(path));
    return this.#parseBody<{ cleared: number }>(response).cleared;
  }

  async #getJson<T>(path: string): Promise<T> {
    return this.#parseBody<T>(await this.#send(() => this.#got.get(path)));
  }

  async #send(
    sendRequest: () => Promise<Response<string>>,
  ): Promise<Response<string>> {
    try {
      return await sendRequest();
    } catch (error) {
      if (error instanceof RequestError) {
        throw new CliError(
          "unreachable",
          `The daemon at ${this.#url} does not answer (${error.code}); check that it is running, or specify another one with --daemon`,
        );
      }
      throw error;
    }
  }

  #parseBody<T>(response: Response<string>): T {
    let body: unknown;
    try {
      body = JSON.parse(response.body);
    } catch {
      throw new CliError(
        "unreachable",
        `The response from ${this.#url} is not JSON; check that --daemon specifies the operator port of a daemon`,
      );
    }
    const message = (body as { message?: string }).message;
    const hasOutcome = (body as { outcome?: string }).outcome !== undefined;
    if (response.statusCode >= 400 && !hasOutcome) {
      throw new CliError(
        "refused",
        message ??
          `The daemon refused the request with HTTP status ${response.statusCode}`,
      );
    }
    return body as T;
  }
}
