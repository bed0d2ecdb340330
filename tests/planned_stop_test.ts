import { createHash } from "node:crypto";
import got, { RequestError } from "got";
import { afterEach, describe, expect, it } from "vitest";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import type { DaemonSettingsInput } from "../src/process/daemon_settings.ts";
import { delay } from "../src/shared/delay.ts";
import { DaemonProcess } from "./support/daemon_process.ts";
import {
  TEST_API_KEY,
  TEST_MODEL,
  TestDeployment,
  waitUntil,
} from "./support/test_deployment.ts";

const DAEMONS = 7;
const BALANCER_LAG_MS = 600;
const BALANCER_CHECK_MS = 100;
const STREAM_WORKERS = 10;
const BOOKING_WORKERS = 6;
const TEST_TIMEOUT_MS = 120_000;
const HEADERS = { authorization: `Bearer ${TEST_API_KEY}` };

/** Load balancer that polls the daemons' readiness, as the platform's load balancer does. */
class PollingBalancer {
  readonly daemons = new Set<DaemonProcess>();
  #ready: DaemonProcess[] = [];
  #next = 0;

  async run(signal: AbortSignal): Promise<void> {
    while (await delay(BALANCER_CHECK_MS, signal)) {
      const checkedDaemons = await Promise.all(
        [...this.daemons].map(async (daemon) => ({
          daemon,
          isReady: await daemon.isReady(),
        })),
      );
      this.#ready = checkedDaemons.filter((c) => c.isReady).map((c) =>
        c.daemon
      );
    }
  }

  getReadyCount(): number {
    return this.#ready.length;
  }

  chooseDaemon(): DaemonProcess {
    return this.#ready[this.#next++ % this.#ready.length];
  }
}

interface LoadReport {
  streams: number;
  bookings: number;
  refusals: Record<string, number>;
  faults: string[];
}

describe("planned stop", () => {
  let deployment: TestDeployment;
  const processes: DaemonProcess[] = [];
  let loadAbort = new AbortController();

  afterEach(async () => {
    // The load of a failed test would otherwise run forever against stopped daemons.
    loadAbort.abort();
    await Promise.all(processes.splice(0).map((p) => p.dispose()));
    await deployment.dispose();
  });

  // Guards against requests that are interrupted or run twice while the daemons are replaced one after another.
  it(
    "replaces all daemons under load without interrupting a request",
    async () => {
      deployment = await TestDeployment.start({
        zones: ["zone-a"],
        daemons: 1,
        enginesPerZone: 4,
        // Cold engines can run the whole load here, because other tests cover cold starts.
        engine: { tokenIntervalMs: 20, coldRequests: 1_000 },
        configure: (document) => {
          document.services[0].timeoutMs = 5_000;
          document.models[0].coldSlots = 16;
        },
      });
      deployment.service.faults.delayMs = 100;
      const balancer = new PollingBalancer();
      loadAbort = new AbortController();
      const { signal } = loadAbort;
      const balancerPromise = balancer.run(signal);
      for (let index = 1; index <= DAEMONS; index++) {
        balancer.daemons.add(await startDaemon(`old-${index}`));
      }
      await waitUntil(() => balancer.getReadyCount() === DAEMONS);
      const report: LoadReport = {
        streams: 0,
        bookings: 0,
        refusals: {},
        faults: [],
      };
      const loadPromise = runLoad(balancer, { report, signal });
      const exitCodes: (number | null)[] = [];
      for (const oldDaemon of [...balancer.daemons]) {
        balancer.daemons.add(
          await startDaemon(oldDaemon.name.replace("old", "new")),
        );
        oldDaemon.process.sendSignal("SIGTERM");
        await delay(50);
        oldDaemon.process.sendSignal("SIGTERM");
        await waitUntil(() => oldDaemon.process.exitCode !== null, 30_000);
        exitCodes.push(oldDaemon.process.exitCode);
        balancer.daemons.delete(oldDaemon);
      }
      loadAbort.abort();
      await Promise.all([loadPromise, balancerPromise]);
      console.log(`load: ${JSON.stringify(report)}`);
      expect(report.faults).toEqual([]);
      expect(exitCodes).toEqual(Array(DAEMONS).fill(0));
      expect(report.streams).toBeGreaterThan(STREAM_WORKERS);
      expect(report.bookings).toBeGreaterThan(BOOKING_WORKERS);
      const keys = deployment.service.runs.map((r) => r.idempotencyKey);
      expect(new Set(keys).size).toBe(keys.length);
      expect(keys.length).toBe(report.bookings);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a planned stop that waits forever for a stream that does not end.
  it(
    "ends the remaining streams with an error event after the stop timeout",
    async () => {
      deployment = await TestDeployment.start({
        zones: ["zone-a"],
        daemons: 1,
        engine: { tokenIntervalMs: 100 },
      });
      const daemon = await startDaemon("old-1", {
        balancerLagMs: 100,
        stopTimeoutMs: 500,
      });
      await delay(500);
      const response = requestStream(daemon, "tokens=200 endless");
      await delay(500);
      daemon.process.sendSignal("SIGTERM");
      const text = await response;
      const lastEvent = text.trim().split("\n\n").at(-1)!;
      expect(JSON.parse(lastEvent.replace("data: ", "")).error).toMatchObject({
        code: "shutting-down",
        verdict: "may-have-run",
      });
      await waitUntil(() => daemon.process.exitCode !== null);
      expect(daemon.process.exitCode).toBe(0);
      expect(daemon.process.logLines.join("\n")).toContain(
        "event=request-cut-by-stop",
      );
    },
    TEST_TIMEOUT_MS,
  );

  async function startDaemon(
    name: string,
    settings: Partial<DaemonSettingsInput> = {},
  ): Promise<DaemonProcess> {
    const daemon = await DaemonProcess.start({
      name,
      zone: deployment.zones[0],
      platformUrl: deployment.platform.url,
      logLevel: "warn",
      balancerLagMs: BALANCER_LAG_MS,
      vmListLagMs: 200,
      exchangeIntervalMs: 200,
      freshnessLimitMs: 3_000,
      statusIntervalMs: 200,
      planIntervalMs: 500,
      leaseDurationMs: 2_000,
      ...settings,
    });
    processes.push(daemon);
    deployment.changeVms((vms) => [...vms, {
      name,
      role: "entry",
      address: daemon.peerAddress,
      zone: deployment.zones[0],
      state: "live",
    }]);
    return daemon;
  }
});

async function runLoad(
  balancer: PollingBalancer,
  options: { report: LoadReport; signal: AbortSignal },
): Promise<void> {
  const { report } = options;
  const workers: Promise<void>[] = [];
  for (let index = 0; index < STREAM_WORKERS; index++) {
    workers.push(runWorker(options, async (round) => {
      const content = `tokens=60 stream-${index}-${round}`;
      const text = await requestStream(balancer.chooseDaemon(), content);
      if (isRefusal(text, report)) {
        return;
      }
      const expectedText = getExpectedTokens([{ role: "user", content }], 512)
        .join("");
      if (
        parseStream(text) === expectedText && text.endsWith("data: [DONE]\n\n")
      ) {
        report.streams++;
      } else {
        report.faults.push(`incomplete stream: ${text.slice(-200)}`);
      }
    }));
  }
  for (let index = 0; index < BOOKING_WORKERS; index++) {
    workers.push(runWorker(options, async (round) => {
      const key = createHash("sha256").update(`${index}-${round}`)
        .digest("hex");
      const response = await got.post(
        `http://${balancer.chooseDaemon().callerAddress}/services/bookings/visits`,
        {
          headers: { ...HEADERS, "idempotency-key": key },
          body: key,
          throwHttpErrors: false,
          retry: { limit: 0 },
        },
      );
      if (response.statusCode === 200) {
        report.bookings++;
      } else if (!isRefusal(response.body, report)) {
        report.faults.push(`booking: ${response.body}`);
      }
    }));
  }
  await Promise.all(workers);
}

async function runWorker(
  options: { report: LoadReport; signal: AbortSignal },
  send: (round: number) => Promise<void>,
): Promise<void> {
  for (let round = 0; !options.signal.aborted; round++) {
    try {
      await send(round);
    } catch (error) {
      const code = error instanceof RequestError ? error.code : "";
      options.report.faults.push(`${code} ${String(error)}`);
    }
  }
}

/** Gets whether a response is a refusal with the verdict `not-run`, which the caller may retry. Counts it in the report. */
function isRefusal(text: string, report: LoadReport): boolean {
  if (!text.startsWith("{")) {
    return false;
  }
  const error = JSON.parse(text).error;
  if (error?.verdict !== "not-run") {
    return false;
  }
  report.refusals[error.code] = (report.refusals[error.code] ?? 0) + 1;
  return true;
}

async function requestStream(
  daemon: DaemonProcess,
  content: string,
): Promise<string> {
  const response = await got.post(
    `http://${daemon.callerAddress}/v1/chat/completions`,
    {
      json: {
        model: TEST_MODEL,
        messages: [{ role: "user", content }],
        stream: true,
      },
      headers: HEADERS,
      throwHttpErrors: false,
      retry: { limit: 0 },
    },
  );
  return response.body;
}

function parseStream(text: string): string {
  return text.split("\n\n").filter((line) => line.startsWith("data: {"))
    .map((line) =>
      JSON.parse(line.slice("data: ".length)).choices?.[0].delta.content ?? ""
    )
    .join("");
}
