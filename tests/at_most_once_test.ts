import { afterEach, describe, expect, it } from "vitest";
import { FakeService } from "../fakes/fake_service.ts";
import { delay } from "../src/shared/delay.ts";
import type { ServiceConfig } from "../src/version/config_schema.ts";
import {
  SERVICE_TIMEOUT_MS,
  ServiceDeployment,
  type TestResponse,
} from "./support/service_deployment.ts";
import { waitUntil } from "./support/test_deployment.ts";

const KEY = "visit-1";

/** Test case with a fault, the requests sent under it and the expected responses. */
interface FaultCase {
  readonly name: string;
  readonly service?: Partial<ServiceConfig>;
  readonly run: (
    deployment: ServiceDeployment,
    addresses: readonly string[],
  ) => Promise<TestResponse[]>;
  /** Expected status, error code and verdict of each response, in the order that `run` returns them. */
  readonly expectedResponses: readonly string[];
  readonly expectedRuns: number;
}

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: "returns the stored response for a repeated key",
    run: async (d, [first, second]) => [
      await d.send({ address: first, key: KEY }),
      await d.send({ address: second, key: KEY }),
      await d.send({ address: first, key: KEY }),
    ],
    expectedResponses: ["200", "200", "200"],
    expectedRuns: 1,
  },
  {
    name: "refuses a key that was used for another body",
    run: async (d, [first, second]) => [
      await d.send({ address: first, key: KEY }),
      await d.send({ address: second, key: KEY, body: "other" }),
    ],
    expectedResponses: ["200", "422 key-reused not-run"],
    expectedRuns: 1,
  },
  {
    name: "refuses a call while the store is down and runs it afterwards",
    run: async (d, [first, second]) => {
      d.platform.faults.down = true;
      const refusal = await d.send({ address: first, key: KEY });
      d.platform.faults.down = false;
      return [refusal, await d.send({ address: second, key: KEY })];
    },
    expectedResponses: ["503 store-unavailable not-run", "200"],
    expectedRuns: 1,
  },
  {
    name:
      "does not report not-run for a repeated key that has an attempt number",
    run: async (d, [first, second]) => {
      const firstResponse = await d.send({
        address: first,
        key: KEY,
        attempt: 1,
      });
      d.platform.faults.down = true;
      return [
        firstResponse,
        await d.send({ address: second, key: KEY, attempt: 2 }),
      ];
    },
    expectedResponses: ["200", "503 store-unavailable may-have-run"],
    expectedRuns: 1,
  },
  {
    name: "waits for a slow store",
    run: async (d, [first, second]) => {
      d.platform.faults.delayMs = 150;
      return [
        await d.send({ address: first, key: KEY }),
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: ["200", "200"],
    expectedRuns: 1,
  },
  {
    name: "reads a claim back when the response to its write was lost",
    run: async (d, [first, second]) => {
      d.platform.faults.dropAnswerNext = 1;
      return [
        await d.send({ address: first, key: KEY }),
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: ["200", "200"],
    expectedRuns: 1,
  },
  {
    name: "retries the read of a claim whose write response was lost",
    run: async (d, [first, second]) => {
      d.platform.faults.dropAnswerNext = 1;
      d.platform.faults.downAfterDrop = true;
      const pendingResponse = d.send({ address: first, key: KEY });
      await waitUntil(() => d.platform.faults.down);
      await delay(150);
      d.platform.faults.down = false;
      return [
        await pendingResponse,
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: ["200", "200"],
    expectedRuns: 1,
  },
  {
    name: "releases a claim that could not be read back in time",
    run: async (d, [first, second]) => {
      d.platform.faults.dropAnswerNext = 1;
      d.platform.faults.downAfterDrop = true;
      const refusal = await d.send({ address: first, key: KEY });
      d.platform.faults.down = false;
      await waitForState(d, "released");
      return [refusal, await d.send({ address: second, key: KEY })];
    },
    expectedResponses: ["503 store-unavailable not-run", "200"],
    expectedRuns: 1,
  },
  {
    name: "repeats the write of an outcome when its response was lost",
    run: async (d, [first, second]) => {
      d.service.faults.delayMs = 100;
      const pendingResponse = d.send({ address: first, key: KEY });
      await waitUntil(() => d.service.runs.length === 1);
      d.platform.faults.dropAnswerNext = 1;
      return [
        await pendingResponse,
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: ["200", "200"],
    expectedRuns: 1,
  },
  {
    name: "stores the outcome when the store is available again",
    run: async (d, [first, second]) => {
      d.service.faults.delayMs = 100;
      const pendingResponse = d.send({ address: first, key: KEY });
      await waitUntil(() => d.service.runs.length === 1);
      d.platform.faults.down = true;
      const response = await pendingResponse;
      const outageResponse = await d.send({ address: second, key: KEY });
      d.platform.faults.down = false;
      await waitForState(d, "finished");
      return [
        response,
        outageResponse,
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: ["200", "503 store-unavailable not-run", "200"],
    expectedRuns: 1,
  },
  {
    name: "does not repeat a call whose response the service dropped",
    run: async (d, [first, second]) => {
      d.service.faults.dropAnswerNext = 1;
      return [
        await d.send({ address: first, key: KEY }),
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: [
      "502 backend-failed may-have-run",
      "409 claim-outcome-unknown may-have-run",
    ],
    expectedRuns: 1,
  },
  {
    name: "does not repeat a call that timed out",
    run: async (d, [first, second]) => {
      d.service.faults.delayMs = SERVICE_TIMEOUT_MS * 2;
      return [
        await d.send({ address: first, key: KEY }),
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: [
      "504 backend-failed may-have-run",
      "409 claim-outcome-unknown may-have-run",
    ],
    expectedRuns: 1,
  },
  {
    name: "stores the outcome of a call that outlasts its caller's deadline",
    run: async (d, [first, second]) => {
      d.service.faults.delayMs = 200;
      const lateResponse = await d.send({
        address: first,
        key: KEY,
        deadlineMs: 100,
      });
      const inProgressResponse = await d.send({ address: second, key: KEY });
      await waitForState(d, "finished");
      return [
        lateResponse,
        inProgressResponse,
        await d.send({ address: second, key: KEY }),
      ];
    },
    expectedResponses: [
      "504 deadline-exceeded may-have-run",
      "409 claim-in-progress may-have-run",
      "200",
    ],
    expectedRuns: 1,
  },
  {
    name: "stores the outcome of a call whose caller disconnected",
    run: async (d, [first, second]) => {
      d.service.faults.delayMs = 100;
      const caller = new AbortController();
      const pendingResponse = d.send({
        address: first,
        key: KEY,
        signal: caller.signal,
      }).catch(() => {});
      await waitUntil(() => d.service.runs.length === 1);
      caller.abort();
      await pendingResponse;
      await waitForState(d, "finished");
      return [await d.send({ address: second, key: KEY })];
    },
    expectedResponses: ["200"],
    expectedRuns: 1,
  },
  {
    name: "releases the claim when every connection is refused",
    run: async (d, [first, second]) => {
      const unusedAddress = await getUnusedAddress();
      await d.applyService({
        backends: [{ address: unusedAddress, zone: "zone-a" }],
      });
      const refusal = await d.send({ address: first, key: KEY });
      await d.applyService({});
      return [refusal, await d.send({ address: second, key: KEY })];
    },
    expectedResponses: ["502 backend-failed not-run", "200"],
    expectedRuns: 1,
  },
  {
    name:
      "sends a call to another backend server when the connection is refused",
    run: async (d, [first]) => {
      const unusedAddress = await getUnusedAddress();
      await d.applyService({
        backends: [unusedAddress, d.service.address].map((address) => ({
          address,
          zone: "zone-a",
        })),
      });
      return [
        await d.send({ address: first, key: KEY }),
        await d.send({ address: first, key: "visit-2" }),
        await d.send({ address: first, key: "visit-3" }),
        await d.send({ address: first }),
      ];
    },
    expectedResponses: ["200", "200", "200", "200"],
    expectedRuns: 4,
  },
  {
    name: "does not repeat a call without a key",
    run: async (d, [first]) => {
      d.service.faults.dropAnswerNext = 1;
      return [await d.send({ address: first })];
    },
    expectedResponses: ["502 backend-failed may-have-run"],
    expectedRuns: 1,
  },
  {
    name: "does not repeat a POST on a path that is not declared",
    run: async (d, [first]) => {
      d.service.faults.dropAnswerNext = 1;
      return [await d.send({ address: first, path: "/search" })];
    },
    expectedResponses: ["502 backend-failed may-have-run"],
    expectedRuns: 1,
  },
  {
    name: "repeats a GET whose response the service dropped",
    run: async (d, [first]) => {
      d.service.faults.dropAnswerNext = 1;
      return [await d.send({ address: first, method: "GET", path: "/jobs/1" })];
    },
    expectedResponses: ["200"],
    expectedRuns: 2,
  },
  {
    name: "sends a first attempt during an outage and stores its outcome later",
    service: { claimOutage: "first-attempt-only" },
    run: async (d, [first, second]) => {
      d.platform.faults.down = true;
      const responses = [
        await d.send({ address: first, key: KEY }),
        await d.send({ address: first, key: KEY }),
        await d.send({ address: second, key: KEY, attempt: 2 }),
      ];
      d.platform.faults.down = false;
      await waitForState(d, "finished");
      return [...responses, await d.send({ address: second, key: KEY })];
    },
    expectedResponses: [
      "200",
      "200",
      "503 store-unavailable may-have-run",
      "200",
    ],
    expectedRuns: 1,
  },
  {
    name:
      "does not release the claim of a retry with an attempt number whose first attempt ran during an outage",
    service: { claimOutage: "first-attempt-only" },
    run: async (d, [first, second]) => {
      d.service.faults.delayMs = SERVICE_TIMEOUT_MS - 50;
      d.platform.faults.down = true;
      const pendingResponse = d.send({ address: first, key: KEY, attempt: 1 });
      await waitUntil(() => d.service.runs.length === 1);
      d.platform.faults.down = false;
      d.platform.faults.dropAnswerNext = 1;
      d.platform.faults.downAfterDrop = true;
      const refusal = await d.send({ address: second, key: KEY, attempt: 2 });
      const firstResponse = await pendingResponse;
      d.platform.faults.down = false;
      const thirdResponse = await d.send({
        address: second,
        key: KEY,
        attempt: 3,
      });
      await waitForState(d, "finished");
      return [
        firstResponse,
        refusal,
        // The outcome of the first attempt may be stored before or after the third attempt, so a refusal is accepted only with `may-have-run`.
        thirdResponse.status === 200 ? thirdResponse : {
          ...thirdResponse,
          status: 200,
          code: undefined,
          verdict: thirdResponse.verdict === "may-have-run"
            ? undefined
            : thirdResponse.verdict,
        },
        await d.send({ address: second, key: KEY, attempt: 4 }),
      ];
    },
    expectedResponses: [
      "200",
      "503 store-unavailable may-have-run",
      "200",
      "200",
    ],
    expectedRuns: 1,
  },
  {
    name:
      "refuses a retry with an attempt number whose first attempt left no claim",
    service: { claimOutage: "first-attempt-only" },
    run: async (d, [first]) => [
      await d.send({ address: first, key: KEY, attempt: 2 }),
      await d.send({ address: first, key: KEY }),
    ],
    expectedResponses: [
      "409 claim-outcome-unknown may-have-run",
      "409 claim-outcome-unknown may-have-run",
    ],
    expectedRuns: 0,
  },
  {
    name: "reports a run whose response is too large to store",
    run: async (d, [first, second]) => {
      const body = "x".repeat(20_000);
      return [
        await d.send({ address: first, key: KEY, body }),
        await d.send({ address: second, key: KEY, body }),
      ];
    },
    expectedResponses: ["200", "409 claim-outcome-unknown ran"],
    expectedRuns: 1,
  },
];

describe("at most once", () => {
  let deployment: ServiceDeployment;

  afterEach(async () => {
    await deployment.dispose();
  });

  // Guards against a call that runs twice under a fault, and against a `not-run` verdict for a call that ran.
  it.each(FAULT_CASES)("$name", async (faultCase) => {
    deployment = await ServiceDeployment.start({ service: faultCase.service });
    const responses = await faultCase.run(
      deployment,
      deployment.daemons.map((d) => d.callerAddress),
    );
    expect(responses.map(formatResponse)).toEqual(faultCase.expectedResponses);
    expect(deployment.service.runs.length).toBe(faultCase.expectedRuns);
    expect(deployment.collectViolations()).toEqual([]);
  });

  // Guards against a race in which two daemons claim the same key and both send the call.
  it("runs a call once when two daemons receive its key at the same time", async () => {
    deployment = await ServiceDeployment.start();
    deployment.service.faults.delayMs = 20;
    for (let round = 0; round < 20; round++) {
      const responses = await Promise.all(
        [0, 1, 0, 1].map((index) =>
          deployment.send({
            address: deployment.daemons[index].callerAddress,
            key: `race-${round}`,
          })
        ),
      );
      expect(responses.some((r) => r.status === 200)).toBe(true);
      expect(deployment.service.getRunCount(`race-${round}`)).toBe(1);
    }
    expect(deployment.collectViolations()).toEqual([]);
  });

  // Guards against extra store writes: a claimed call needs two, any other call none.
  it("writes to the store twice for each claimed call and never for other calls", async () => {
    deployment = await ServiceDeployment.start();
    const address = deployment.daemons[0].callerAddress;
    const writesBefore = deployment.platform.counts.writes;
    for (let index = 0; index < 10; index++) {
      await deployment.send({ address, key: `count-${index}` });
    }
    const writesAfterCalls = deployment.platform.counts.writes;
    await deployment.send({ address, method: "GET", path: "/jobs" });
    expect(writesAfterCalls - writesBefore).toBe(20);
    expect(deployment.platform.counts.writes).toBe(writesAfterCalls);
  });
});

function formatResponse(response: TestResponse): string {
  return [response.status, response.code, response.verdict]
    .filter((part) => part !== undefined).join(" ");
}

/** Timeout of a wait for a claim state. Outcome writes are retried up to 7.5 s apart, which exceeds the default timeout of `waitUntil`. */
const OUTCOME_WAIT_MS = 20_000;

async function waitForState(
  deployment: ServiceDeployment,
  state: string,
): Promise<void> {
  await waitUntil(
    () =>
      deployment.platform.getObjects("claim").some((o) =>
        (o.value as { state: string }).state === state
      ),
    OUTCOME_WAIT_MS,
  );
}

async function getUnusedAddress(): Promise<string> {
  const stoppedService = new FakeService();
  const address = await stoppedService.start();
  await stoppedService.dispose();
  return address;
}
