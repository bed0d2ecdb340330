import { vi } from "vitest";
import {
  GroupAdmission,
  type GroupAdmissionRequest,
} from "../../src/process/fleet/group_admission.ts";
import { GroupLoads } from "../../src/process/fleet/group_loads.ts";
import type { GroupTable } from "../../src/process/fleet/group_table.ts";
import type { TimedSendLimit } from "../../src/process/fleet/send_limit.ts";
import { createWaitingPart } from "../../src/process/waiting/waiting_part.ts";
import { getReturnDeadlineMs } from "../../src/process/waiting/refusal_record.ts";
import type { RequestError } from "../../src/shared/errors.ts";
import { NullLogger } from "../../src/shared/logger.ts";

const NOTICE_MS = 100;
/** Time from a grant until the first event in milliseconds, by size class of the prompt. The last class cannot be on time with the objectives of the tests. */
const FIRST_EVENTS_MS = { small: 100, large: 400, huge: 1_200 };
type SizeClass = keyof typeof FIRST_EVENTS_MS;
const DECLINE_MS = 3;
const WAIT_SHARE = 0.3;
const HONORED_SHARE = 1 / 3;

/** Load that callers put on several daemons of one model. */
export interface ReplayedLoad {
  readonly daemons: number;
  readonly groups: number;
  readonly slots: number;
  readonly durationMs: number;
  readonly timeLimitMs: number;
  readonly objectiveMs: number;
  /** Requests that an engine queues beyond its slots. */
  readonly engineQueue: number;
  /** Number of times that a refused caller returns. */
  readonly retries: number;
  /** Gets the requests per second of all callers at a time in milliseconds. */
  getRate(atMs: number): number;
  /** Gets the number of groups that serve at a time in milliseconds. */
  getServingGroups(atMs: number): number;
  /** Share of the requests that the first daemon receives in addition to its equal share. */
  readonly skew: number;
  readonly lastsMs: number;
  readonly isEnabled: boolean;
  /** Size classes of the prompts, in turn; defaults to small ones. */
  readonly sizes?: readonly SizeClass[];
  /** Share of the callers that are of the account "impatient", which ignores the time to return and retries at once, three times as often; defaults to 0. */
  readonly impatientShare?: number;
  /** Whether requests are sent beyond the known free slots. */
  readonly sendsBeyondSlots?: boolean;
  /** Seed of the random numbers; defaults to 1. */
  readonly seed?: number;
}

/** What the callers of a replayed load observed. */
export interface ReplayResult {
  requests: number;
  onTime: number;
  late: number;
  /** Requests whose last attempt was on time. */
  punctualAttempts: number;
  refused: number;
  /** Mean time until a refusal, over all attempts of callers, in milliseconds. */
  refusalMs: number;
  sizes: Record<SizeClass, { requests: number; served: number }>;
  accounts: Record<
    "patient" | "impatient",
    { requests: number; served: number }
  >;
  /** Attempts that an engine declined. */
  declined: number;
  /** Mean share of the slots in which no request ran while requests waited at daemons. */
  idleShare: number;
}

/** Engine that runs as many requests as it has slots, queues a few and declines the rest. */
class ReplayedEngine {
  running = 0;
  readonly #load: ReplayedLoad;
  readonly #queue: (() => void)[] = [];

  constructor(load: ReplayedLoad) {
    this.#load = load;
  }

  /** Starts a request; resolves to `false` when it is declined. */
  async start(): Promise<boolean> {
    if (this.running < this.#load.slots) {
      this.running++;
      return true;
    }
    if (this.#queue.length >= this.#load.engineQueue) {
      return false;
    }
    await new Promise<void>((resolve) => this.#queue.push(resolve));
    return true;
  }

  finish(): void {
    const next = this.#queue.shift();
    if (next === undefined) {
      this.running--;
    } else {
      next();
    }
  }
}

/** Replays a load on the admissions of several daemons, on the paused clock. The loads of the daemons are exchanged every 100 ms. */
export async function runLoad(load: ReplayedLoad): Promise<ReplayResult> {
  let random = load.seed ?? 1;
  vi.spyOn(Math, "random").mockImplementation(() => {
    random = (random * 48_271) % 2_147_483_647;
    return random / 2_147_483_647;
  });
  const startMs = performance.now();
  const result: ReplayResult = {
    requests: 0,
    onTime: 0,
    late: 0,
    punctualAttempts: 0,
    refused: 0,
    refusalMs: 0,
    sizes: {
      small: { requests: 0, served: 0 },
      large: { requests: 0, served: 0 },
      huge: { requests: 0, served: 0 },
    },
    accounts: {
      patient: { requests: 0, served: 0 },
      impatient: { requests: 0, served: 0 },
    },
    declined: 0,
    idleShare: 0,
  };
  const engines = new Map<string, ReplayedEngine>();
  let refusals = 0;
  const keys = Array.from({ length: load.groups }, (_, i) => `g${i}/1`);
  keys.forEach((key) => engines.set(key, new ReplayedEngine(load)));
  const servingGroups = keys.map((key) => ({ key, head: { zone: "z" } }));
  const groups = {
    onChange: () => {},
    listServingGroups: () =>
      servingGroups.slice(
        0,
        load.getServingGroups(performance.now() - startMs),
      ),
  } as unknown as GroupTable;
  const statements: TimedSendLimit = {
    isBelowLimit: () => true,
    recordRequest: () => {},
    getWaitMs: () => 0,
    onChange: () => {},
  };
  const daemons = Array.from({ length: load.daemons }, (_, i) => {
    const loads = new GroupLoads();
    const part = createWaitingPart({
      waitEstimates: load.isEnabled,
      sendsBeyondSlots: load.sendsBeyondSlots,
    }, {
      logger: new NullLogger(),
      metrics: { count: () => {} },
      groups,
      loads,
    });
    const admission = new GroupAdmission({
      groups,
      loads,
      sendLimits: [],
      statements,
      zone: "z",
      ownName: `entry-${i}`,
      getStalenessMs: () => NOTICE_MS,
      waits: part?.estimates,
    });
    return { name: `entry-${i}`, loads, admission, part };
  });
  const exchange = setInterval(() => {
    const reports = daemons.map(({ loads }) => loads.getReport("equal"));
    const sections = daemons.map(({ part }) =>
      part?.sections.map((section) => section.getReport("equal")) ?? []
    );
    daemons.forEach(({ loads, part }, i) =>
      daemons.forEach(({ name }, j) => {
        if (i !== j) {
          sections[j].forEach((report, k) => {
            if (report !== undefined) {
              part?.sections[k].applyReport(name, "equal", report);
            }
          });
          loads.applyPeerLoad(name, "equal", {
            loads: keys.map((key) => [key, reports[j].get(key) ?? 0]),
          });
        }
      })
    );
  }, NOTICE_MS);

  async function runCaller(index: number): Promise<void> {
    const sizes = load.sizes ?? ["small"];
    const size = sizes[result.requests % sizes.length];
    const firstEventDelayMs = FIRST_EVENTS_MS[size];
    result.sizes[size].requests++;
    const isImpatient = Math.random() < (load.impatientShare ?? 0);
    const account = isImpatient ? "impatient" : "patient";
    const fingerprint = `${result.requests}`.padStart(6, "-");
    const retries = load.retries * (isImpatient ? 3 : 1);
    result.accounts[account].requests++;
    const receivedAtMs = performance.now();
    const deadlineMs = receivedAtMs + load.timeLimitMs;
    for (let attempt = 0;; attempt++) {
      const arrivedAtMs = performance.now();
      const excludedGroups = new Set<string>();
      const { admission, part } = daemons[(index + attempt) % daemons.length];
      const refusedReturn = part?.refusals.takeReturn(fingerprint);
      const request: GroupAdmissionRequest = {
        service: "models",
        model: "m",
        priority: 0,
        excludedGroups,
        hasStarted: false,
        isReturning: refusedReturn?.isPunctual,
        slots: load.slots,
        latencyDeadlineMs: getReturnDeadlineMs(
          arrivedAtMs + load.objectiveMs - firstEventDelayMs,
          refusedReturn,
        ),
        waitDeadlineMs: arrivedAtMs + (deadlineMs - arrivedAtMs) * WAIT_SHARE,
        signal: new AbortController().signal,
      };
      try {
        for (;;) {
          const grant = await admission.acquire(request);
          const engine = engines.get(grant.group.key)!;
          if (!await engine.start()) {
            await wait(DECLINE_MS);
            result.declined++;
            grant.release();
            grant.recordDecline?.();
            excludedGroups.add(grant.group.key);
            continue;
          }
          const firstEventMs = performance.now() + firstEventDelayMs -
            receivedAtMs;
          result.accounts[account].served++;
          result.sizes[size].served++;
          if (
            performance.now() + firstEventDelayMs - arrivedAtMs <=
              load.objectiveMs
          ) {
            result.punctualAttempts++;
          }
          result[firstEventMs <= load.objectiveMs ? "onTime" : "late"]++;
          await wait(load.durationMs * (0.5 + Math.random()));
          engine.finish();
          grant.release();
          return;
        }
      } catch (error) {
        refusals++;
        result.refusalMs += performance.now() - arrivedAtMs;
        const { retryAfterMs = 0 } = error as RequestError;
        const honoredMs = (deadlineMs - performance.now()) * HONORED_SHARE;
        if (attempt === retries) {
          result.refused++;
          return;
        }
        part?.refusals.recordRefusal({
          fingerprint,
          account,
          returnMs: retryAfterMs,
        });
        await wait(isImpatient ? 50 : Math.min(retryAfterMs, honoredMs));
      }
    }
  }

  let samples = 0;
  let due = 0;
  for (let atMs = 0; atMs < load.lastsMs; atMs += 5) {
    for (due += load.getRate(atMs) * 5 / 1_000; due >= 1; due--) {
      result.requests++;
      const isSkewed = Math.random() < load.skew;
      const index = isSkewed ? 0 : Math.floor(Math.random() * load.daemons);
      runCaller(index).catch(() => {});
    }
    await vi.advanceTimersByTimeAsync(5);
    if (daemons.some(({ admission }) => admission.waitingCount > 0)) {
      const slots = load.slots * load.getServingGroups(atMs);
      const running = servingGroups.slice(0, load.getServingGroups(atMs))
        .reduce((sum, { key }) => sum + engines.get(key)!.running, 0);
      samples++;
      result.idleShare += 1 - running / slots;
    }
  }
  await vi.advanceTimersByTimeAsync(3 * load.timeLimitMs);
  clearInterval(exchange);
  vi.restoreAllMocks();
  result.idleShare = Number(
    (result.idleShare / Math.max(1, samples)).toFixed(4),
  );
  result.refusalMs = Math.round(result.refusalMs / Math.max(1, refusals));
  return result;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
