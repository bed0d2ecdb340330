import type { Logger } from "../../shared/logger.ts";
import type { ReplicaGroup } from "../fleet/group_table.ts";
import type { Metrics } from "../metrics.ts";
import { countEndedRequests } from "./ended_requests.ts";
import { EngineQueues } from "./engine_queues.ts";
import type { WaitingNumbers } from "./waiting_numbers.ts";
import { chooseLatencyDeadlineMs, type LateArrival } from "./late_arrivals.ts";
import { ModelWaits, type SlotFlow } from "./model_waits.ts";

/** Priority that includes all waiting requests. */
const LOWEST_PRIORITY = Number.MAX_SAFE_INTEGER;
/** Minimum time between two observations of the loads of other daemons, in milliseconds: the interval of their notices. */
const OBSERVATION_INTERVAL_MS = 100;
/** Minimum time between two log lines about refusals of one model, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
/** Share of the mean duration from which on a request counts as run. */
const MIN_TAKEN_SHARE = 0.25;
/** Maximum number of groups whose random numbers are kept. */
const MAX_DRAWS = 1_000;
/** Maximum number of models whose waits are observed. */
const MAX_MODELS = 256;

/** Model that a request is for. */
export interface RequestedModel {
  readonly service: string;
  readonly model: string;
}

/** Part of a request for a slot that estimates depend on. */
export interface EstimatedRequest extends RequestedModel {
  /** Priority level; 0 is the most urgent. */
  readonly priority: number;
  /** Whether the caller has received a part of the response. */
  readonly hasStarted: boolean;
  /** Whether an attempt of the request may have run, or is running. Its refusal would not be a true one. */
  readonly mayHaveRun?: boolean;
  /** Monotonic time until which the request may wait for a slot, in milliseconds. */
  readonly waitDeadlineMs: number;
}

/** Slot that a request has given back. */
export interface HeldGrant {
  /** Whether the request was sent beyond the known free slots. */
  readonly isBeyond: boolean;
  /** Time for which the request held the slot, in milliseconds. */
  readonly heldMs: number;
}

/** Random number for the rounding of one group, until the next notices. */
interface RoundingDraw {
  readonly drawnAtMs: number;
  readonly random: number;
}

/** State of a model while its waiting requests are examined. */
interface ModelState {
  readonly waits: ModelWaits;
  readonly flow: SlotFlow | undefined;
}

interface RefusalLog {
  loggedAtMs: number;
  refused: number;
}

/** Options of the estimates. */
export interface WaitEstimatesOptions {
  /** Requests that wait at all daemons. */
  readonly numbers: WaitingNumbers;
  /** Whether requests are sent beyond the known free slots; defaults to false. */
  readonly sendsBeyondSlots?: boolean;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "count">;
  readonly groups: {
    listServingGroups(
      service: string,
      model: string,
    ): readonly Pick<ReplicaGroup, "key">[];
  };
  readonly loads: {
    getLoad(key: string): number;
    getOwnLoad(key: string): number;
  };
}

/**
 * Estimates whether waiting requests can get a slot, and when refused callers should return.
 *
 * Each daemon decides for its own queue. Without evidence, that is, while hardly any slot has become free or no group serves the model, nothing is estimated and requests wait until their deadline.
 */
export class WaitEstimates {
  readonly #options: WaitEstimatesOptions;
  readonly #models = new Map<string, ModelWaits>();
  readonly #observedAtMs = new Map<string, number>();
  readonly #refusalLogs = new Map<string, RefusalLog>();
  readonly #queues = new EngineQueues();
  #draws = new Map<string, RoundingDraw>();

  constructor(options: WaitEstimatesOptions) {
    this.#options = options;
  }

  /** Gets the time until the last slot of any model that is promised to a refused caller, in milliseconds. */
  get promisedMs(): number {
    return Math.max(
      0,
      ...[...this.#models.values()].map(({ promisedMs }) => promisedMs),
    );
  }

  /** Records a request that asks for a slot, and gets the request with the time until which it goes before the late ones. */
  recordArrival<T extends EstimatedRequest & LateArrival>(request: T): T {
    this.#getWaits(request)?.recordArrival(request.priority);
    const latencyDeadlineMs = chooseLatencyDeadlineMs(
      request,
      performance.now(),
      Math.random(),
    );
    return latencyDeadlineMs === request.latencyDeadlineMs
      ? request
      : { ...request, latencyDeadlineMs };
  }

  /** Records that a request begins to wait. */
  recordWaitStart(request: EstimatedRequest): void {
    this.#options.numbers.change(getModelKey(request), request.priority, 1);
  }

  /** Records that the wait of a request has ended. */
  recordWaitEnd(request: EstimatedRequest): void {
    this.#options.numbers.change(getModelKey(request), request.priority, -1);
  }

  /** Records a slot that this daemon granted. */
  recordGrant(request: RequestedModel): void {
    this.#getWaits(request)?.recordGrant();
  }

  /**
   * Records the end of a request.
   *
   * @param grant - Whether the request was sent beyond the known free slots, and the time for which it held its slot, in milliseconds.
   */
  recordRelease(
    request: RequestedModel,
    { heldMs, isBeyond }: HeldGrant,
  ): void {
    const waits = this.#getWaits(request);
    const meanMs = waits?.getDurationMs() ?? Number.POSITIVE_INFINITY;
    waits?.recordRelease(heldMs);
    if (isBeyond) {
      this.#options.metrics.count("requests_beyond_slots");
    }
    // A declined request is held for some milliseconds only.
    if (isBeyond && heldMs >= meanMs * MIN_TAKEN_SHARE) {
      this.#queues.recordTaken(request.service);
    }
  }

  /**
   * Records that the engine of a group declined a request, whose arrival, grant and release are taken back. The request asks for a slot again.
   */
  recordDecline(
    request: EstimatedRequest,
    groupKey: string,
    grant: HeldGrant,
  ): void {
    this.#getWaits(request)?.removeAttempt(request.priority, grant.heldMs);
    this.#queues.recordDecline(request.service, groupKey, grant);
    if (grant.isBeyond) {
      const { logger } = this.#options;
      logger.write("info", "beyond-slots-declined", {
        service: request.service,
        group: groupKey,
      });
    }
  }

  /**
   * Lists the numbers of requests that groups may get beyond their slots while requests wait; undefined when none may.
   *
   * @param groupKeys - Groups of the requested model.
   * @param options - Slots of each group, and the age of the loads that other daemons reported, in milliseconds.
   */
  listExtraSlots(
    request: RequestedModel,
    groupKeys: readonly string[],
    { slots, stalenessMs }: { slots: number; stalenessMs: number },
  ): number[] | undefined {
    const { loads, sendsBeyondSlots = false } = this.#options;
    if (!sendsBeyondSlots) {
      return undefined;
    }
    const waits = this.#getWaits(request);
    const durationMs = waits?.getDurationMs();
    const fallPerMs = waits?.getPeerFallPerMs() ?? 0;
    if (durationMs === undefined || fallPerMs === 0) {
      return undefined;
    }
    const peerLoads = groupKeys.map((key) =>
      Math.max(0, loads.getLoad(key) - loads.getOwnLoad(key))
    );
    const totalLoad = Math.max(
      1,
      peerLoads.reduce((sum, load) => sum + load, 0),
    );
    return groupKeys.map((key, i) =>
      this.#queues.takesMore(request.service, key)
        ? countEndedRequests({
          peerLoad: peerLoads[i],
          fallPerMs: fallPerMs * peerLoads[i] / totalLoad,
          slots,
          ageMs: stalenessMs,
          durationMs,
        }, this.#getDraw(key))
        : 0
    );
  }

  /**
   * Creates a function that examines the waiting requests in the order in which they would get slots, and gets whether a request has hardly a chance of one. A request that it keeps is ahead of those that follow.
   *
   * @example
   * ```ts
   * const isHopeless = estimates.createExamination();
   * const refused = sortedRequests.filter(isHopeless);
   * ```
   */
  createExamination(): (request: EstimatedRequest) => boolean {
    const nowMs = performance.now();
    const states = new Map<string, ModelState | undefined>();
    const aheadCounts = new Map<string, number>();
    return (request) => {
      const key = getModelKey(request);
      if (!states.has(key)) {
        states.set(key, this.#getState(request, key));
      }
      const { waits, flow } = states.get(key) ?? {};
      const ahead = aheadCounts.get(key) ?? 0;
      const isRefused = waits !== undefined && flow !== undefined &&
        !request.hasStarted && request.mayHaveRun !== true &&
        waits.isHopeless(flow, {
          priority: request.priority,
          ahead,
          remainingMs: request.waitDeadlineMs - nowMs,
        });
      if (!isRefused) {
        aheadCounts.set(key, ahead + 1);
        return false;
      }
      this.#recordRefusal(request, { key, ahead, flow, waits });
      return true;
    };
  }

  /**
   * Promises a slot to the caller of a refused request, and gets the time after which the caller should return, in milliseconds; undefined without evidence, and for a request whose caller has left or gets no refusal that states that it has not run.
   */
  createReturn(
    request: RequestedModel & Partial<EstimatedRequest> & {
      readonly signal?: AbortSignal;
    },
  ): number | undefined {
    if (
      request.hasStarted === true || request.mayHaveRun === true ||
      request.signal?.aborted === true
    ) {
      return undefined;
    }
    const key = getModelKey(request);
    const state = this.#getState(request, key);
    return state?.flow === undefined ? undefined : state.waits.addReturn(
      state.flow,
      this.#options.numbers.countWaiting(
        key,
        request.priority ?? LOWEST_PRIORITY,
      ),
    );
  }

  #getState(request: RequestedModel, key: string): ModelState | undefined {
    const { groups, loads } = this.#options;
    const waits = this.#getWaits(request);
    const servingGroups = groups.listServingGroups(
      request.service,
      request.model,
    );
    if (waits === undefined || servingGroups.length === 0) {
      return undefined;
    }
    let inFlight = 0;
    let ownInFlight = 0;
    const peerLoads = new Map<string, number>();
    for (const group of servingGroups) {
      const load = loads.getLoad(group.key);
      const ownLoad = loads.getOwnLoad(group.key);
      inFlight += load;
      ownInFlight += ownLoad;
      peerLoads.set(group.key, Math.max(0, load - ownLoad));
    }
    const nowMs = performance.now();
    const observedAtMs = this.#observedAtMs.get(key) ??
      Number.NEGATIVE_INFINITY;
    if (nowMs - observedAtMs >= OBSERVATION_INTERVAL_MS) {
      this.#observedAtMs.set(key, nowMs);
      waits.observePeerLoads(peerLoads);
    }
    const share = getRatio(ownInFlight, inFlight);
    return { waits, flow: waits.getFlow({ inFlight, share }) };
  }

  /** Gets the random number of a group. It changes with the notices only, since repeated draws would round up in the end. */
  #getDraw(key: string): number {
    const nowMs = performance.now();
    let draw = this.#draws.get(key);
    if (
      draw === undefined || nowMs - draw.drawnAtMs >= OBSERVATION_INTERVAL_MS
    ) {
      draw = { drawnAtMs: nowMs, random: Math.random() };
      if (this.#draws.size >= MAX_DRAWS) {
        this.#draws = new Map();
      }
      this.#draws.set(key, draw);
    }
    return draw.random;
  }

  #getWaits(request: RequestedModel): ModelWaits | undefined {
    const key = getModelKey(request);
    let waits = this.#models.get(key);
    if (waits === undefined && this.#models.size < MAX_MODELS) {
      waits = new ModelWaits();
      this.#models.set(key, waits);
    }
    return waits;
  }

  #recordRefusal(
    request: EstimatedRequest,
    { key, ahead, flow, waits }: {
      key: string;
      ahead: number;
      flow: SlotFlow;
      waits: ModelWaits;
    },
  ): void {
    const { logger, metrics } = this.#options;
    const nowMs = performance.now();
    metrics.count("early_refusals");
    const log = this.#refusalLogs.get(key) ??
      { loggedAtMs: Number.NEGATIVE_INFINITY, refused: 0 };
    this.#refusalLogs.set(key, log);
    log.refused++;
    if (nowMs - log.loggedAtMs < LOG_INTERVAL_MS) {
      return;
    }
    logger.write("info", "wait-refused", {
      service: request.service,
      model: request.model,
      refused: log.refused,
      priority: request.priority,
      ahead,
      remainingMs: Math.round(request.waitDeadlineMs - nowMs),
      served: Math.round(flow.served),
      freed: Math.round(flow.freed),
      arrivals: waits.countArrivals(request.priority),
      durationMs: Math.round(waits.getDurationMs() ?? 0),
      loadsAgeMs: Math.round(nowMs - (this.#observedAtMs.get(key) ?? nowMs)),
    });
    log.loggedAtMs = nowMs;
    log.refused = 0;
  }
}

function getRatio(part: number, whole: number): number {
  return Math.min(1, part / Math.max(1, whole));
}

function getModelKey({ service, model }: RequestedModel): string {
  return `${service} ${model}`;
}
