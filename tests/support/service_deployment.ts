import { createHash } from "node:crypto";
import got from "got";
import { FakePlatform } from "../../fakes/fake_platform.ts";
import { FakeService } from "../../fakes/fake_service.ts";
import { Daemon } from "../../src/process/daemon.ts";
import {
  type DaemonSettingsInput,
  daemonSettingsSchema,
} from "../../src/process/daemon_settings.ts";
import { LifeCycleManager } from "../../src/shared/life_cycle_manager.ts";
import {
  configSchema,
  type ServiceConfig,
} from "../../src/version/config_schema.ts";
import { TEST_API_KEY, waitUntil } from "./test_deployment.ts";

/** Timeout of a service call in these tests, in milliseconds. */
export const SERVICE_TIMEOUT_MS = 300;
/** Longest wait for a claim in these tests, in milliseconds. */
export const CLAIM_WAIT_MS = 400;

/** Service call that a test sends. */
export interface TestCall {
  /** Address of the caller port. */
  readonly address: string;
  readonly key?: string;
  readonly body?: string;
  readonly path?: string;
  readonly method?: "GET" | "POST";
  readonly attempt?: number;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}

/** Response that a test receives. */
export interface TestResponse {
  readonly status: number;
  readonly text: string;
  readonly requestId: string;
  /** Error code, or undefined unless the call was refused. */
  readonly code: string | undefined;
  readonly verdict: string | undefined;
}

/** Fakes and daemons for tests of service calls, without models. */
export class ServiceDeployment {
  readonly platform = new FakePlatform();
  readonly service = new FakeService();
  readonly daemons: Daemon[] = [];
  readonly responses: TestResponse[] = [];
  readonly #lifeCycle = new LifeCycleManager();
  #requestCount = 0;

  /** Starts the fakes and the daemons, two by default. */
  static async start(
    options: {
      service?: Partial<ServiceConfig>;
      settings?: Partial<DaemonSettingsInput>;
      daemons?: number;
    } = {},
  ): Promise<ServiceDeployment> {
    const deployment = new ServiceDeployment();
    await deployment.platform.start();
    deployment.#lifeCycle.add(deployment.platform);
    deployment.platform.faults.faultKind = "claim";
    await deployment.service.start();
    deployment.#lifeCycle.add(deployment.service);
    deployment.setService(options.service ?? {});
    for (let index = 1; index <= (options.daemons ?? 2); index++) {
      const daemon = new Daemon(daemonSettingsSchema.parse(
        deployment.createSettings(`entry-${index}`, options.settings),
      ));
      await daemon.start();
      deployment.#lifeCycle.add(daemon);
      deployment.daemons.push(daemon);
    }
    await waitUntil(() =>
      deployment.daemons.every((d) =>
        d.context.configHolder.getCurrent() !== undefined
      )
    );
    return deployment;
  }

  async dispose(): Promise<void> {
    await this.#lifeCycle.dispose();
  }

  /** Creates the settings of a daemon. */
  createSettings(
    name: string,
    settings: Partial<DaemonSettingsInput> = {},
  ): DaemonSettingsInput {
    return {
      name,
      zone: "zone-a",
      platformUrl: this.platform.url,
      logLevel: "error",
      balancerLagMs: 0,
      vmListLagMs: 200,
      exchangeIntervalMs: 100,
      freshnessLimitMs: 60_000,
      planIntervalMs: 10_000,
      claimWaitMs: CLAIM_WAIT_MS,
      // Writes of planner leases would consume the store faults that a test sets for the write of a claim.
      leaseDurationMs: 600_000,
      ...settings,
    };
  }

  /** Replaces the declared service. */
  setService(service: Partial<ServiceConfig>): number {
    const document = configSchema.parse({
      schemaVersion: 1,
      zones: [{ name: "zone-a", region: "region-1" }],
      services: [{
        name: "bookings",
        backends: [{ address: this.service.address, zone: "zone-a" }],
        nonRepeatable: [{ method: "POST", path: "/visits*" }],
        timeoutMs: SERVICE_TIMEOUT_MS,
        ...service,
      }],
      clientAccounts: [{
        name: "account-1",
        apiKeySha256: [
          createHash("sha256").update(TEST_API_KEY).digest("hex"),
        ],
      }],
    });
    return this.platform.setObject("config", "main", document).version;
  }

  /** Replaces the declared service and waits until every daemon has it. */
  async applyService(service: Partial<ServiceConfig>): Promise<void> {
    const version = this.setService(service);
    await waitUntil(() =>
      this.daemons.every((d) => d.context.configHolder.getVersion() >= version)
    );
  }

  /** Sends a call with a unique request id and records the response. */
  async send(call: TestCall): Promise<TestResponse> {
    const requestId = `request-${++this.#requestCount}`;
    const method = call.method ?? "POST";
    const response = await got(
      `http://${call.address}/services/bookings${call.path ?? "/visits"}`,
      {
        method,
        body: method === "POST" ? call.body ?? "hotel" : undefined,
        headers: {
          authorization: `Bearer ${TEST_API_KEY}`,
          "idempotency-key": call.key,
          "x-request-id": requestId,
          "x-attempt": call.attempt?.toString(),
          "x-deadline-ms": call.deadlineMs?.toString(),
        },
        signal: call.signal,
        throwHttpErrors: false,
        retry: { limit: 0 },
      },
    );
    const error = response.statusCode >= 400
      ? (JSON.parse(response.body) as {
        error?: { code: string; verdict: string };
      }).error
      : undefined;
    const testResponse = {
      status: response.statusCode,
      text: response.body,
      requestId,
      code: error?.code,
      verdict: error?.verdict,
    };
    this.responses.push(testResponse);
    return testResponse;
  }

  /** Lists violations of at-most-once execution: idempotency keys that ran more than once, and requests that ran although their verdict is `not-run`. */
  collectViolations(): string[] {
    const violations: string[] = [];
    const keys = new Set(this.service.runs.map((r) => r.idempotencyKey));
    for (const key of keys) {
      if (key !== undefined && this.service.getRunCount(key) > 1) {
        violations.push(
          `key ${key} ran ${this.service.getRunCount(key)} times`,
        );
      }
    }
    for (const response of this.responses) {
      const hasRun = this.service.runs.some((r) =>
        r.requestId === response.requestId
      );
      if (response.verdict === "not-run" && hasRun) {
        violations.push(
          `${response.requestId} ran although it was refused with ${response.code}`,
        );
      }
    }
    return violations;
  }
}
