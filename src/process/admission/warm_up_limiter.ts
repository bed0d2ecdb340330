import type { ModelConfig } from "../../version/config_schema.ts";
import type { ReceivedGroupHealth } from "../group_health.ts";

/** Ratio of the token interval to its average above which a group counts as cold. */
const SLOWDOWN_FACTOR = 3;
/** Weight of a new observation in the exponential moving average of the token interval. */
const TOKEN_INTERVAL_SMOOTHING_FACTOR = 0.1;
/** Minimum number of finished requests per additional slot, so that a single success does not allow the full load. */
const FINISHED_REQUESTS_PER_SLOT = 2;

/** Time after which a daemon other than the first home trusts the `ready` state of a cold group, in milliseconds. Such a daemon does not count the finished requests. */
const READY_TRUST_DELAY_MS = 30_000;

/** Context in which the health of a group is evaluated. */
export interface WarmUpContext {
  readonly model: ModelConfig;
  /** Whether this daemon is the group's first home, which counts the finished requests. */
  readonly isFirstHome: boolean;
  /** Number of requests that this daemon accounts for: its own ones that started before the observation, and the slots that it has lent. */
  readonly accountedRequests: number;
}

interface WarmUpState {
  /** Monotonic time at which the group turned cold, in milliseconds of `performance.now()`. */
  coldSinceMs: number;
  /** Whether the engine itself reported the `cold` state, in which case its `ready` state is trusted. */
  hasReportedCold: boolean;
  bootId: string;
  generation: number;
  averageTokenIntervalMs: number | undefined;
  isCold: boolean;
  /** Number of requests that finished since the group turned cold. */
  finishedRequests: number;
  /** Monotonic time of the newest observation, in milliseconds of `performance.now()`. */
  observedAtMs: number;
  /** Running requests that the first home does not account for. Other daemons sent them on their own shares before the group turned cold. */
  unaccountedRequests: number;
}

/** Limits the concurrent requests on cold groups: a slow start whose limit grows with the finished requests. */
export class WarmUpLimiter {
  readonly #stateByGroup = new Map<string, WarmUpState>();

  /**
   * Updates the state of a group from its newest health.
   *
   * A changed boot id, a changed generation, a large increase of the token interval or a reported state other than `ready` makes the group cold at once. The group is warm again when the engine reports `ready` after it had reported `cold`. If the engine never reported `cold`, the first home considers the group warm again after `warmAfterRequests` finished requests, and other daemons after `READY_TRUST_DELAY_MS`.
   *
   * @param health - Newest health of the group.
   * @param context - Model of the group and the role of this daemon.
   */
  observeHealth(health: ReceivedGroupHealth, context: WarmUpContext): void {
    const state = this.#stateByGroup.get(health.groupId);
    if (state === undefined) {
      const isCold = health.state !== "ready";
      this.#stateByGroup.set(
        health.groupId,
        createState(health, isCold, context),
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
    if (!state.isCold && (health.state !== "ready" || hasSlowedDown)) {
      state.isCold = true;
      state.coldSinceMs = performance.now();
      state.hasReportedCold = false;
      state.finishedRequests = 0;
    }
    state.hasReportedCold ||= health.state === "cold";
    if (state.isCold && hasWarmedUp(state, health, context)) {
      state.isCold = false;
      state.averageTokenIntervalMs = undefined;
    } else if (!state.isCold) {
      updateAverageTokenInterval(state, health);
    }
  }

  /** Gets whether a group is cold. A group without any observation counts as cold. */
  isCold(groupId: string): boolean {
    return this.#stateByGroup.get(groupId)?.isCold ?? true;
  }

  /** Gets the monotonic time at which a group last turned cold, or the current time for an unknown group. */
  getColdSinceMs(groupId: string): number {
    return this.#stateByGroup.get(groupId)?.coldSinceMs ?? performance.now();
  }

  /**
   * Records finished requests of a cold group. Requests that started before the group turned cold are not counted, since they do not warm up the engine.
   *
   * @param groupId - Id of the group.
   * @param requests - Number of requests and their earliest monotonic start time.
   */
  recordFinishedRequests(
    groupId: string,
    requests: { count: number; startedAtMs: number },
  ): void {
    const state = this.#stateByGroup.get(groupId);
    if (
      state !== undefined && state.isCold &&
      requests.startedAtMs >= state.coldSinceMs
    ) {
      state.finishedRequests += requests.count;
    }
  }

  /** Gets the number of requests that finished since the group turned cold. */
  getFinishedRequests(groupId: string): number {
    return this.#stateByGroup.get(groupId)?.finishedRequests ?? 0;
  }

  /**
   * Gets the maximum number of concurrent requests of a group. On a cold group, requests that other daemons still run there are subtracted.
   *
   * @param groupId - Id of the group.
   * @param model - Model of the group.
   */
  getSlotLimit(groupId: string, model: ModelConfig): number {
    if (!this.isCold(groupId)) {
      return model.slotsPerGroup;
    }
    const finishedRequests = this.getFinishedRequests(groupId);
    const additionalSlots = Math.max(0, model.slotsPerGroup - model.coldSlots);
    const proportionalSlots = Math.floor(
      additionalSlots * finishedRequests / model.warmAfterRequests,
    );
    const maxAdditionalSlots = Math.floor(
      finishedRequests / FINISHED_REQUESTS_PER_SLOT,
    );
    const slots = Math.min(
      model.slotsPerGroup,
      model.coldSlots + Math.min(proportionalSlots, maxAdditionalSlots),
    );
    const unaccountedRequests =
      this.#stateByGroup.get(groupId)?.unaccountedRequests ?? 0;
    return Math.max(0, slots - unaccountedRequests);
  }
}

function createState(
  health: ReceivedGroupHealth,
  isCold: boolean,
  context: WarmUpContext,
): WarmUpState {
  return {
    observedAtMs: health.observedAtMs,
    unaccountedRequests: countUnaccountedRequests(health, context),
    bootId: health.bootId,
    generation: health.generation,
    averageTokenIntervalMs: undefined,
    isCold,
    coldSinceMs: performance.now(),
    hasReportedCold: health.state === "cold",
    finishedRequests: 0,
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
    state.finishedRequests >= context.model.warmAfterRequests;
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
