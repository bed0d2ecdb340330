import { writeFile } from "node:fs/promises";
import {
  BALEWORKS,
  CRANK_WORKS,
  type DeploymentProfile,
} from "../bench/load/deployment_profile.ts";
import { createWorkload, type PlannedRequest } from "../bench/load/workload.ts";
import {
  type ExpectedOutcomes,
  formatTrace,
  type Trace,
  type TraceArrival,
  type TraceHeader,
  type TraceStep,
} from "../tests/replay/trace.ts";

const TRACE_DIRECTORY = "tests/traces";
const DURATION_MS = 40_000;
const REQUESTS_PER_SECOND = 10;
const PROMPT_TOKENS = 60;
const SLOW_READ_TOKENS_PER_SECOND = 15;
const CRASH_FINGERPRINT = "crash-request";

interface TraceRecording {
  readonly file: string;
  readonly profile: DeploymentProfile;
  readonly seed: number;
  readonly description: string;
  readonly steps: readonly TraceStep[];
  /** Maximum number of attempts of one request, given the faults of the trace. */
  readonly mostAttempts: number;
  /** Expected outcomes of the trace as a whole. */
  readonly totals: Omit<ExpectedOutcomes, "requests">;
}

const TRACE_RECORDINGS: readonly TraceRecording[] = [
  {
    file: "crank_works",
    profile: CRANK_WORKS,
    seed: 11,
    description:
      "zone-a is taken out and brought back while bookings and chats of a few large accounts arrive",
    steps: [
      createZoneEvent(10_000, "zone-taken-out"),
      createZoneEvent(22_000, "zone-brought-back"),
    ],
    mostAttempts: 1,
    totals: {
      zoneAttempts: [
        { zone: "zone-a", fromMs: 0, untilMs: 10_000, least: 10 },
        { zone: "zone-a", fromMs: 15_000, untilMs: 22_000, least: 0, most: 0 },
        { zone: "zone-a", fromMs: 22_000, untilMs: 40_000, least: 10 },
      ],
      leastResumed: 0,
      crashes: { least: 0, most: 0 },
    },
  },
  {
    file: "baleworks",
    profile: BALEWORKS,
    seed: 12,
    description:
      "a member of zone-b is lost at the end of a shift while summaries run and gate clients read slowly; later a request crashes its group and is retried",
    steps: [
      {
        type: "fault",
        atMs: 15_000,
        fault: "member-lost",
        zone: "zone-b",
        member: 2,
      },
      {
        type: "fault",
        atMs: 25_000,
        fault: "member-back",
        zone: "zone-b",
        member: 2,
      },
      ...[0, 1, 2, 3].map((index) => createCrashRequest(index)),
    ],
    mostAttempts: 4,
    totals: {
      zoneAttempts: [
        { zone: "zone-b", fromMs: 0, untilMs: 15_000, least: 10 },
        { zone: "zone-b", fromMs: 15_000, untilMs: 40_000, least: 10 },
      ],
      leastResumed: 1,
      crashes: { least: 2, most: 2 },
    },
  },
];

for (const recording of TRACE_RECORDINGS) {
  await writeRecording(recording);
}

async function writeRecording(recording: TraceRecording): Promise<void> {
  const trace = createTrace(recording);
  const path = `${TRACE_DIRECTORY}/${recording.file}`;
  await writeFile(`${path}.jsonl`, formatTrace(trace));
  const expected = createExpectedOutcomes(trace, recording);
  await writeFile(
    `${path}.expected.json`,
    `${JSON.stringify(expected, null, 2)}\n`,
  );
}

function createTrace(recording: TraceRecording): Trace {
  const { profile, seed } = recording;
  const arrivals = createWorkload({
    profile,
    seed,
    durationMs: DURATION_MS,
    requestsPerSecond: REQUESTS_PER_SECOND,
  }).map(createArrival);
  const steps = [...arrivals, ...recording.steps]
    .sort((a, b) => a.atMs - b.atMs);
  return { header: createHeader(recording), steps };
}

function createHeader(recording: TraceRecording): TraceHeader {
  const { profile, seed, description } = recording;
  return {
    type: "header",
    format: 1,
    deployment: profile.name,
    seed,
    description,
    zones: [...profile.zones],
    daemons: profile.daemons,
    vmsPerZone: 2 * profile.groupSizeVms + 1,
    groupSizeVms: profile.groupSizeVms,
    slotsPerGroup: profile.slotsPerGroup,
    kvTokensPerGroup: 4_000,
    coldSlots: 1,
    warmAfterRequests: 16,
    tokenIntervalMs: 20,
    accounts: profile.accounts.map((account) => account.name),
    durationMs: DURATION_MS,
  };
}

function createArrival(request: PlannedRequest): TraceArrival {
  const outputTokens = Number(/tokens=(\d+)/.exec(request.content)?.[1] ?? 0);
  return {
    type: "arrival",
    atMs: Math.round(request.atMs),
    id: request.id,
    kind: request.kind,
    account: request.account,
    daemon: request.daemonIndex,
    deadlineMs: request.deadlineMs,
    promptTokens: request.kind === "chat" ? PROMPT_TOKENS : 0,
    outputTokens: request.kind === "chat" ? outputTokens : 0,
    ...(request.isSlowReader
      ? { readTokensPerSecond: SLOW_READ_TOKENS_PER_SECOND }
      : {}),
  };
}

function createZoneEvent(
  atMs: number,
  event: "zone-taken-out" | "zone-brought-back",
): TraceStep {
  return { type: "event", atMs, event, zone: "zone-a" };
}

/** Creates one attempt of a request that crashes its group; the caller retries it through different daemons. */
function createCrashRequest(index: number): TraceArrival {
  return {
    type: "arrival",
    atMs: DURATION_MS + 12_000 + index * 9_000,
    id: `crash-${index}`,
    kind: "chat",
    account: "account-4",
    daemon: index,
    deadlineMs: 20_000,
    promptTokens: PROMPT_TOKENS,
    outputTokens: 60,
    crashFingerprint: CRASH_FINGERPRINT,
  };
}

/** Derives the expected outcomes from the trace alone, so that they do not depend on the result of a run. */
function createExpectedOutcomes(
  trace: Trace,
  recording: TraceRecording,
): ExpectedOutcomes {
  const requests: ExpectedOutcomes["requests"] = {};
  for (const step of trace.steps) {
    if (step.type === "arrival") {
      requests[step.id] = {
        outcomes: step.crashFingerprint === undefined
          ? ["finished"]
          : ["quarantined"],
        latestEndMs: step.atMs + step.deadlineMs,
        mostAttempts: step.kind === "call" ? 1 : recording.mostAttempts,
      };
    }
  }
  return { ...recording.totals, requests };
}
