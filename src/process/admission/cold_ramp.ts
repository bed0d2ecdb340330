import type { ModelConfig } from "../../version/config_schema.ts";
import type { ReceivedGroupHealth } from "../group_health.ts";

/** Factor of the usual time for each token above which a group counts as cold. */
const SLOW_FACTOR = 3;
/** Weight of a new observation in the usual time for each token. */
const SPEED_WEIGHT = 0.1;
/** Finished requests for each further slot, so that one success does not open the full load. */
const FINISHED_PER_SLOT = 2;

/** Time after which a daemon that does not count the finished requests itself trusts a ready report, in milliseconds. */
const SUSPICION_MS = 30_000;

/** What an observation is judged by. */
export interface RampObservation {
  readonly model: ModelConfig;
  /** Whether this daemon is the group's first home, which counts the finished requests. */
  readonly isFirstHome: boolean;
  /** Requests that this daemon accounts for: its own that began before the observation, and what it has lent. */
  readonly accountedRequests: number;
}

interface RampState {
  coldSinceMs: number;
  /** Whether the engine itself reported the cold state, so that its ready report is to be trusted. */
  reportedCold: boolean;
  bootId: string;
  generation: number;
  usualIntervalMs: number | undefined;
  cold: boolean;
  finished: number;
  /** Time of the newest observation, in milliseconds of `performance.now()`. */
  observedAtMs: number;
  /** Requests that the engine holds beyond those that the first home accounts for: other daemons sent them on their shares before the group turned cold. */
  foreignRequests: number;
}

/** Tracks which groups are cold, and the load that a cold group bears. */
export class ColdRamp {
  readonly #groups = new Map<string, RampState>();

  /**
   * Takes an observation of a group into account.
   *
   * A changed boot id, a changed generation, a clear fall in speed or a reported state other than ready makes the group cold at once. It is warm again when the engine, having reported cold, reports ready; or, when the engine did not notice, after enough finished requests.
   *
   * @param health - Newest health of the group.
   * @param observation - Model of the group and the part of this daemon.
   */
  observe(health: ReceivedGroupHealth, observation: RampObservation): void {
    const state = this.#groups.get(health.groupId);
    if (state === undefined) {
      const cold = health.state !== "ready";
      this.#groups.set(health.groupId, createState(health, cold, observation));
      return;
    }
    const restarted = state.bootId !== health.bootId ||
      state.generation !== health.generation;
    if (restarted) {
      this.#groups.set(health.groupId, createState(health, true, observation));
      return;
    }
    if (health.observedAtMs !== state.observedAtMs) {
      state.observedAtMs = health.observedAtMs;
      state.foreignRequests = countForeign(health, observation);
    }
    const slow = isSlow(state, health);
    if (!state.cold && (health.state !== "ready" || slow)) {
      state.cold = true;
      state.coldSinceMs = performance.now();
      state.reportedCold = false;
      state.finished = 0;
    }
    state.reportedCold ||= health.state === "cold";
    if (state.cold && isWarmedUp(state, health, observation)) {
      state.cold = false;
      state.usualIntervalMs = undefined;
    } else if (!state.cold) {
      recordSpeed(state, health);
    }
  }

  /** Gets whether a group is cold; an unknown group is. */
  isCold(groupId: string): boolean {
    return this.#groups.get(groupId)?.cold ?? true;
  }

  /** Gets the monotonic time since which a cold group is cold. */
  getColdSinceMs(groupId: string): number {
    return this.#groups.get(groupId)?.coldSinceMs ?? performance.now();
  }

  /**
   * Takes note that requests of a cold group have finished. Requests that began before the group turned cold do not count, since the engine does not warm up by them.
   *
   * @param groupId - Group.
   * @param finished - Number of requests and the earliest monotonic time of their start.
   */
  recordFinished(
    groupId: string,
    finished: { count: number; startedAtMs: number },
  ): void {
    const state = this.#groups.get(groupId);
    if (
      state !== undefined && state.cold &&
      finished.startedAtMs >= state.coldSinceMs
    ) {
      state.finished += finished.count;
    }
  }

  /** Gets the requests that finished since the group turned cold. */
  getFinished(groupId: string): number {
    return this.#groups.get(groupId)?.finished ?? 0;
  }

  /**
   * Gets the requests that a group bears at once; on a cold group, without those that others still run there.
   *
   * @param groupId - Group.
   * @param model - Model of the group.
   */
  getSlots(groupId: string, model: ModelConfig): number {
    if (!this.isCold(groupId)) {
      return model.slotsPerGroup;
    }
    const finished = this.getFinished(groupId);
    const room = Math.max(0, model.slotsPerGroup - model.coldSlots);
    const linear = Math.floor(room * finished / model.warmAfterRequests);
    const steps = Math.floor(finished / FINISHED_PER_SLOT);
    const slots = Math.min(
      model.slotsPerGroup,
      model.coldSlots + Math.min(linear, steps),
    );
    const foreign = this.#groups.get(groupId)?.foreignRequests ?? 0;
    return Math.max(0, slots - foreign);
  }
}

function createState(
  health: ReceivedGroupHealth,
  cold: boolean,
  observation: RampObservation,
): RampState {
  return {
    observedAtMs: health.observedAtMs,
    foreignRequests: countForeign(health, observation),
    bootId: health.bootId,
    generation: health.generation,
    usualIntervalMs: undefined,
    cold,
    coldSinceMs: performance.now(),
    reportedCold: health.state === "cold",
    finished: 0,
  };
}

function countForeign(
  { runningRequests }: ReceivedGroupHealth,
  { isFirstHome, accountedRequests }: RampObservation,
): number {
  return isFirstHome ? Math.max(0, runningRequests - accountedRequests) : 0;
}

function isWarmedUp(
  state: RampState,
  health: ReceivedGroupHealth,
  observation: RampObservation,
): boolean {
  if (health.state !== "ready") {
    return false;
  }
  const trusted = !observation.isFirstHome &&
    performance.now() - state.coldSinceMs >= SUSPICION_MS;
  return state.reportedCold || trusted ||
    state.finished >= observation.model.warmAfterRequests;
}

function isSlow(state: RampState, health: ReceivedGroupHealth): boolean {
  return state.usualIntervalMs !== undefined &&
    health.tokenIntervalMs !== undefined &&
    health.tokenIntervalMs > state.usualIntervalMs * SLOW_FACTOR;
}

function recordSpeed(state: RampState, health: ReceivedGroupHealth): void {
  const interval = health.tokenIntervalMs;
  if (interval !== undefined && interval > 0) {
    state.usualIntervalMs = state.usualIntervalMs === undefined
      ? interval
      : state.usualIntervalMs * (1 - SPEED_WEIGHT) + interval * SPEED_WEIGHT;
  }
}
