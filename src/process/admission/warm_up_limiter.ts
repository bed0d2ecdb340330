import type { ModelConfig } from "../../version/config_schema.ts";
import type { ReceivedGroupHealth } from "../group_health.ts";

/** Factor of the usual time for each token above which a group counts as cold. */
const SLOWDOWN_FACTOR = 3;
/** Weight of a new observation in the usual time for each token. */
const TOKEN_INTERVAL_SMOOTHING_FACTOR = 0.1;
/** Finished requests for each further slot, so that one success does not open the full load. */
const FINISHED_REQUESTS_PER_SLOT = 2;

/** Time after which a daemon that does not count the finished requests itself trusts a ready report, in milliseconds. */
const READY_TRUST_DELAY_MS = 30_000;

/** What an observation is judged by. */
export interface WarmUpContext {
  readonly model: ModelConfig;
  /** Whether this daemon is the group's first home, which counts the finished requests. */
  readonly isFirstHome: boolean;
  /** Requests that this daemon accounts for: its own that began before the observation, and what it has lent. */
  readonly accountedRequests: number;
}

interface WarmUpState {
  coldSinceMs: number;
  /** Whether the engine itself reported the cold state, so that its ready report is to be trusted. */
  hasReportedCold: boolean;
  bootId: string;
  generation: number;
  averageTokenIntervalMs: number | undefined;
  cold: boolean;
  finished: number;
  /** Time of the newest observation, in milliseconds of `performance.now()`. */
  observedAtMs: number;
  /** Requests that the engine holds beyond those that the first home accounts for: other daemons sent them on their shares before the group turned cold. */
  unaccountedRequests: number;
}

/** Tracks which groups are cold, and the load that a cold group bears. */
export class WarmUpLimiter {
  readonly #stateByGroup = new Map<string, WarmUpState>();

  /**
   * Takes an observation of a group into account.
   *
   * A changed boot id, a changed generation, a clear fall in speed or a reported state other than ready makes the group cold at once. It is warm again when the engine, having reported cold, reports ready; or, when the engine did not notice, after enough finished requests.
   *
   * @param health - Newest health of the group.
   * @param context - Model of the group and the part of this daemon.
   */
  observeHealth(health: ReceivedGroupHealth, context: WarmUpContext): void {
    const state = this.#stateByGroup.get(health.groupId);
    if (state === undefined) {
      const cold = health.state !== "ready";
      this.#stateByGroup.set(
        health.groupId,
        createState(health, cold, context),
      );
      return;
    }
    const hasRestarted = state.bootId !== health.bootId ||
      state.generation !== health.generation;
    if (hasRestarted) {
      this.#stateByGroup.set(
        health.groupId,
        createState(health, true, context),
      );
      return;
    }
    if (health.observedAtMs !== state.observedAtMs) {
      state.observedAtMs = health.observedAtMs;
      state.unaccountedRequests = countUnaccountedRequests(health, context);
    }
    const hasSlowedDown = isSlowedDown(state, health);
    if (!state.cold && (health.state !== "ready" || hasSlowedDown)) {
      state.cold = true;
      state.coldSinceMs = performance.now();
      state.hasReportedCold = false;
      state.finished = 0;
    }
    state.hasReportedCold ||= health.state === "cold";
    if (state.cold && hasWarmedUp(state, health, context)) {
      state.cold = false;
      state.averageTokenIntervalMs = undefined;
    } else if (!state.cold) {
      updateAverageTokenInterval(state, health);
    }
  }

  /** Gets whether a group is cold; an unknown group is. */
  isCold(groupId: string): boolean {
    return this.#stateByGroup.get(groupId)?.cold ?? true;
  }

  /** Gets the monotonic time since which a cold group is cold. */
  getColdSinceMs(groupId: string): number {
    return this.#stateByGroup.get(groupId)?.coldSinceMs ?? performance.now();
  }

  /**
   * Takes note that requests of a cold group have finished. Requests that began before the group turned cold do not count, since the engine does not warm up by them.
   *
   * @param groupId - Group.
   * @param finished - Number of requests and the earliest monotonic time of their start.
   */
  recordFinishedRequests(
    groupId: string,
    finished: { count: number; startedAtMs: number },
  ): void {
    const state = this.#stateByGroup.get(groupId);
    if (
      state !== undefined && state.cold &&
      finished.startedAtMs >= state.coldSinceMs
    ) {
      state.finished += finished.count;
    }
  }

  /** Gets the requests that finished since the group turned cold. */
  getFinishedRequests(groupId: string): number {
    return this.#stateByGroup.get(groupId)?.finished ?? 0;
  }

  /**
   * Gets the requests that a group bears at once; on a cold group, without those that others still run there.
   *
   * @param groupId - Group.
   * @param model - Model of the group.
   */
  getSlotLimit(groupId: string, model: ModelConfig): number {
    if (!this.isCold(groupId)) {
      return model.slotsPerGroup;
    }
    const finished = this.getFinishedRequests(groupId);
    const additionalSlots = Math.max(0, model.slotsPerGroup - model.coldSlots);
    const linearSteps = Math.floor(
      additionalSlots * finished / model.warmAfterRequests,
    );
    const finishedSteps = Math.floor(finished / FINISHED_REQUESTS_PER_SLOT);
    const slots = Math.min(
      model.slotsPerGroup,
      model.coldSlots + Math.min(linearSteps, finishedSteps),
    );
    const unaccountedRequests =
      this.#stateByGroup.get(groupId)?.unaccountedRequests ?? 0;
    return Math.max(0, slots - unaccountedRequests);
  }
}

function createState(
  health: ReceivedGroupHealth,
  cold: boolean,
  context: WarmUpContext,
): WarmUpState {
  return {
    observedAtMs: health.observedAtMs,
    unaccountedRequests: countUnaccountedRequests(health, context),
    bootId: health.bootId,
    generation: health.generation,
    averageTokenIntervalMs: undefined,
    cold,
    coldSinceMs: performance.now(),
    hasReportedCold: health.state === "cold",
    finished: 0,
  };
}

function countUnaccountedRequests(
  { runningRequests }: ReceivedGroupHealth,
  { isFirstHome, accountedRequests }: WarmUpContext,
): number {
  return isFirstHome ? Math.max(0, runningRequests - accountedRequests) : 0;
}

function hasWarmedUp(
  state: WarmUpState,
  health: ReceivedGroupHealth,
  context: WarmUpContext,
): boolean {
  if (health.state !== "ready") {
    return false;
  }
  const isReportTrusted = !context.isFirstHome &&
    performance.now() - state.coldSinceMs >= READY_TRUST_DELAY_MS;
  return state.hasReportedCold || isReportTrusted ||
    state.finished >= context.model.warmAfterRequests;
}

function isSlowedDown(
  state: WarmUpState,
  health: ReceivedGroupHealth,
): boolean {
  return state.averageTokenIntervalMs !== undefined &&
    health.tokenIntervalMs !== undefined &&
    health.tokenIntervalMs > state.averageTokenIntervalMs * SLOWDOWN_FACTOR;
}

function updateAverageTokenInterval(
  state: WarmUpState,
  health: ReceivedGroupHealth,
): void {
  const interval = health.tokenIntervalMs;
  if (interval !== undefined && interval > 0) {
    state.averageTokenIntervalMs = state.averageTokenIntervalMs === undefined
      ? interval
      : state.averageTokenIntervalMs * (1 - TOKEN_INTERVAL_SMOOTHING_FACTOR) +
        interval * TOKEN_INTERVAL_SMOOTHING_FACTOR;
  }
}
