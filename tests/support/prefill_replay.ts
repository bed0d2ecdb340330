import { SeededRandom } from "../../bench/load/seeded_random.ts";
import { applyEstimates } from "../../src/process/concurrency/candidate_limits.ts";
import type { StreamObservation } from "../../src/process/concurrency/server_record.ts";
import { chooseGroup } from "../../src/process/fleet/group_choice.ts";
import type { EngineProfile } from "../../src/version/routing_config.ts";
import { createBackendServer } from "./backend_servers.ts";
import { ConcurrencyExchange } from "./concurrency_exchange.ts";
import { ENGINE } from "./planned_fleet.ts";

/** Engine of the replayed deployment. */
const PREFILL_ENGINE: EngineProfile = {
  ...ENGINE,
  slots: 34,
  stepMs: 6.45,
  stepPerRequestMs: 0.0967,
  promptTokensPerSecond: 56_100,
};
/** Number of prompt tokens that a step processes. */
const MAX_TOKENS_PER_STEP = 2_048;
/** Number of tokens in a batch of events. */
const TOKENS_PER_EVENT = PREFILL_ENGINE.stepsPerBatch;
const GROUP_COUNTS: Readonly<Record<string, number>> = { large: 6, small: 12 };
/** Kinds of requests: rate over all groups per second, mean, spread and maximum of the prompt tokens, and events. */
const REQUEST_KINDS = [
  {
    model: "small",
    rate: 176,
    mean: 674,
    spread: 0.89,
    max: 2_340,
    events: 30,
  },
  {
    model: "large",
    rate: 28.5,
    mean: 1_420,
    spread: 1,
    max: 4_030,
    events: 30,
  },
  {
    model: "large",
    rate: 17.7,
    mean: 1_960,
    spread: 1.3,
    max: 5_880,
    events: 5,
  },
] as const;
/** Share by which the rates oscillate, and the period, in milliseconds. */
const OSCILLATION = 0.55;
const OSCILLATION_MS = 13_000;
/** Number of entry VMs of the deployment. */
const DAEMONS = 72;
const NOTICE_MS = 100;
const UPDATE_MS = 250;
/** Time for which a request waits for a slot, in milliseconds. */
const MAX_WAIT_MS = 400;

interface ReplayStream {
  readonly model: string;
  promptTokens: number;
  remainingEvents: number;
  readonly arrivedAtMs: number;
  remainingPromptTokens: number;
  daemon: number;
  observation?: StreamObservation;
}

interface ReplayGroup {
  readonly key: string;
  readonly name: string;
  readonly model: string;
  /** Streams whose prompts have been processed, and those that wait for it. */
  running: ReplayStream[];
  waiting: ReplayStream[];
  batchEndMs: number | undefined;
  knownLoad: number;
  readonly sentSince: number[];
}

/** Group-evaluations of all daemons in a part of a replay. */
export interface SlowCounts {
  evaluations: number;
  slow: number;
  /** Slow, or with a limit. */
  deviating: number;
}

/** Options of a replay. */
export interface PrefillReplayOptions {
  readonly seed: number;
  /** Mean prompt length before the maximum is applied, as a multiple of the usual one; defaults to 1. */
  readonly promptFactor?: number;
}

/** Replays the prefill load of a deployment with 72 daemons on a paused clock: engines whose batches include the prompts that wait. */
export class PrefillReplay {
  readonly #options: PrefillReplayOptions;
  readonly #random: SeededRandom;
  readonly #groups = new Map<string, ReplayGroup>();
  readonly #exchange: ConcurrencyExchange;
  readonly #advance: (ms: number) => void;
  #queue: ReplayStream[] = [];
  #generation = 0;
  /** Factor of the batch durations, by name of the group. */
  readonly slowness = new Map<string, number>();
  /** Number of requests that found no slot in time, and of those that arrived. */
  lostRequests = 0;
  requests = 0;

  /** @param advance - Advances the paused clock, in milliseconds. */
  constructor(options: PrefillReplayOptions, advance: (ms: number) => void) {
    this.#options = options;
    this.#advance = advance;
    this.#random = new SeededRandom(options.seed);
    this.#exchange = new ConcurrencyExchange(
      DAEMONS,
      (key, daemon) => this.#getKnownLoad(this.#groups.get(key), daemon),
    );
    this.openGroups();
  }

  /** Opens the groups that do not exist, as a new generation. */
  openGroups(): void {
    this.#generation++;
    for (const [model, count] of Object.entries(GROUP_COUNTS)) {
      for (let i = 0; i < count; i++) {
        const name = `${model}-${i}`;
        if (this.#listGroups().some((group) => group.name === name)) {
          continue;
        }
        const key = `${name}/${this.#generation}`;
        this.#groups.set(key, {
          key,
          name,
          model,
          running: [],
          waiting: [],
          batchEndMs: undefined,
          knownLoad: 0,
          sentSince: new Array<number>(DAEMONS).fill(0),
        });
      }
    }
  }

  /** Removes each second group; its streams continue at others with their output as a part of the prompt. */
  crashHalf(): void {
    for (const [index, group] of this.#listGroups().entries()) {
      if (index % 2 === 0) {
        this.#groups.delete(group.key);
        for (const stream of [...group.running, ...group.waiting]) {
          stream.observation?.finish();
          stream.observation = undefined;
          this.#queue.push({ ...stream, arrivedAtMs: performance.now() });
        }
      }
    }
  }

  /** Gets the number of daemons. */
  get daemonCount(): number {
    return DAEMONS;
  }

  /** Gets the number of daemons that hold a group for slow. */
  countSlowDaemons(name: string): number {
    const group = this.#listGroups().find((one) => one.name === name);
    return this.#exchange.parts.filter(({ concurrency }) =>
      (concurrency.getEstimate(group?.key ?? "")?.speed ?? 1) < 1
    ).length;
  }

  /** Gets the number of requests in a group. */
  getLoad(name: string): number {
    return getLoad(this.#listGroups().find((one) => one.name === name));
  }

  /**
   * Replays the load for a time.
   *
   * @param onUpdate - Called after each evaluation.
   */
  run(forMs: number, onUpdate: () => void = () => {}): SlowCounts {
    const counts: SlowCounts = { evaluations: 0, slow: 0, deviating: 0 };
    const endMs = performance.now() + forMs;
    while (performance.now() < endMs) {
      this.#advance(1);
      const nowMs = Math.round(performance.now());
      this.#addArrivals(nowMs);
      this.#admitQueue(nowMs);
      this.#groups.forEach((group) => this.#runGroup(group));
      if (nowMs % UPDATE_MS === 0) {
        this.#exchange.parts.forEach(({ concurrency }) =>
          concurrency.runPeriod()
        );
        this.#countEstimates(counts);
        onUpdate();
      }
      if (nowMs % NOTICE_MS === 0) {
        this.#exchange.sendReports();
        for (const group of this.#groups.values()) {
          group.knownLoad = getLoad(group);
          group.sentSince.fill(0);
        }
      }
    }
    return counts;
  }

  #listGroups(): ReplayGroup[] {
    return [...this.#groups.values()];
  }

  #getKnownLoad(group: ReplayGroup | undefined, daemon: number): number {
    return group === undefined ? 0 : group.knownLoad + group.sentSince[daemon];
  }

  #countEstimates(counts: SlowCounts): void {
    for (const { concurrency } of this.#exchange.parts) {
      for (const key of this.#groups.keys()) {
        const estimate = concurrency.getEstimate(key);
        counts.evaluations++;
        counts.slow += Number((estimate?.speed ?? 1) < 1);
        counts.deviating += Number(estimate !== undefined);
      }
    }
  }

  #addArrivals(nowMs: number): void {
    const factor = 1 +
      OSCILLATION * Math.sin(2 * Math.PI * nowMs / OSCILLATION_MS);
    for (const { model, rate, mean, spread, max, events } of REQUEST_KINDS) {
      if (this.#random.getFloat() >= rate * factor / 1_000) {
        continue;
      }
      const { promptFactor = 1 } = this.#options;
      // Log-normal with the given mean.
      const normal = Math.sqrt(-2 * Math.log(1 - this.#random.getFloat())) *
        Math.cos(2 * Math.PI * this.#random.getFloat());
      const tokens = mean * promptFactor *
        Math.exp(spread * normal - spread * spread / 2);
      this.requests++;
      this.#queue.push({
        model,
        promptTokens: Math.ceil(Math.min(max, tokens)),
        remainingEvents: events,
        arrivedAtMs: nowMs,
        remainingPromptTokens: 0,
        daemon: this.#random.getInteger(DAEMONS),
      });
    }
  }

  #admitQueue(nowMs: number): void {
    this.#queue = this.#queue.filter((stream) => {
      if (nowMs - stream.arrivedAtMs > MAX_WAIT_MS) {
        this.lostRequests++;
        return false;
      }
      return !this.#tryStart(stream);
    });
  }

  #tryStart(stream: ReplayStream): boolean {
    const { daemon, model } = stream;
    const { concurrency } = this.#exchange.parts[daemon];
    const groups = this.#listGroups().filter((one) => one.model === model);
    const { slots } = PREFILL_ENGINE;
    const limits = applyEstimates(
      groups.map(({ key }) => concurrency.getEstimate(key)),
      slots,
    );
    const index = chooseGroup(
      groups.map((group, i) => ({
        load: this.#getKnownLoad(group, daemon),
        slots: limits?.[i].slots ?? slots,
        speed: limits?.[i].speed,
        penalty: 0,
      })),
      {
        stalenessMs: NOTICE_MS,
        durationMs: 1_000,
        peersShare: 1 - 1 / DAEMONS,
      },
      this.#random.getFloat(),
    );
    if (index === undefined) {
      return false;
    }
    const group = groups[index];
    if (getLoad(group) >= slots) {
      // The engine declines the request, and the daemon learns that it is full.
      group.sentSince[daemon] = Math.max(0, slots - group.knownLoad);
      return false;
    }
    group.sentSince[daemon]++;
    stream.remainingPromptTokens = stream.promptTokens;
    stream.observation = concurrency.startStream({
      group: {
        key: group.key,
        name: group.name,
        generation: this.#generation,
        service: "models",
        model,
        head: createBackendServer({ id: group.name }),
        members: [],
      },
      engine: PREFILL_ENGINE,
      promptTokens: stream.promptTokens,
    });
    group.waiting.push(stream);
    return true;
  }

  #runGroup(group: ReplayGroup): void {
    const nowMs = performance.now();
    if (group.batchEndMs !== undefined) {
      if (nowMs < group.batchEndMs) {
        return;
      }
      group.running = group.running.filter((stream) => {
        stream.observation?.recordEvents();
        stream.promptTokens += TOKENS_PER_EVENT;
        if (--stream.remainingEvents > 0) {
          return true;
        }
        stream.observation?.finish();
        return false;
      });
    }
    const batchMs = this.#startBatch(group);
    // The next batch starts when the last one has ended, not when the clock's step has.
    group.batchEndMs = batchMs === undefined
      ? undefined
      : (group.batchEndMs ?? nowMs) + batchMs;
  }

  /** Gets the duration of the next batch; undefined without requests. */
  #startBatch(group: ReplayGroup): number | undefined {
    const { slots, stepsPerBatch, stepMs, stepPerRequestMs } = PREFILL_ENGINE;
    let tokens = 0;
    while (group.waiting.length > 0 && group.running.length < slots) {
      const [stream] = group.waiting;
      const count = Math.min(
        stream.remainingPromptTokens,
        stepsPerBatch * MAX_TOKENS_PER_STEP - tokens,
      );
      tokens += count;
      stream.remainingPromptTokens -= count;
      if (stream.remainingPromptTokens > 0) {
        break;
      }
      group.running.push(stream);
      group.waiting.shift();
    }
    if (group.running.length === 0 && tokens === 0) {
      return undefined;
    }
    const factor =
      PREFILL_ENGINE.models.find(({ name }) => name === group.model)
        ?.stepFactor ?? 1;
    const prefillMs = tokens * 1_000 * factor /
      PREFILL_ENGINE.promptTokensPerSecond;
    const stepsMs = stepsPerBatch * factor *
      (stepMs + stepPerRequestMs * group.running.length);
    return (stepsMs + prefillMs) * (this.slowness.get(group.name) ?? 1);
  }
}

function getLoad(group: ReplayGroup | undefined): number {
  return (group?.running.length ?? 0) + (group?.waiting.length ?? 0);
}
