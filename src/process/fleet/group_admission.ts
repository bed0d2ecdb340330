import { RequestError } from "../../shared/errors.ts";
import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import {
  applyEstimates,
  type ServerEstimate,
} from "../concurrency/candidate_limits.ts";
import {
  chooseGroup,
  type GroupCandidate,
  type UnreportedArrivals,
} from "./group_choice.ts";
import type { GroupTable, ReplicaGroup } from "./group_table.ts";
import type { GroupLoads } from "./group_loads.ts";
import { getJitteredMs } from "../../shared/backoff.ts";
import type { SendLimit, TimedSendLimit } from "./send_limit.ts";
import type { WaitEstimates } from "../waiting/wait_estimates.ts";
import { sortWaiters } from "../waiting/waiter_order.ts";

/** Delay before the waiting requests are checked again when a head is at a limit of its request rate, in milliseconds. */
const SEND_LIMIT_RETRY_MS = 100;

/** Number of requests added to the load of a group in another zone, to reduce cross-zone traffic. A difference of this size does not noticeably change the step time of an engine. */
const CROSS_ZONE_PENALTY = 3;
/** Number of requests added to the load of a group that this daemon does not prefer. A daemon of a large fleet sends few requests, so that its connections are reused only when it uses few groups. */
const UNPREFERRED_PENALTY = 3;
/** Number of groups of a model in its own zone that a daemon prefers. */
const PREFERRED_GROUP_COUNT = 4;
/** Initial value of the mean time that a request holds its slot, in milliseconds. */
const DEFAULT_REQUEST_DURATION_MS = 1_000;
/** Weight of the latest request in the exponentially weighted mean of the request duration. */
const DURATION_SMOOTHING_FACTOR = 0.05;

/** Request to be admitted to a group of a model. */
export interface GroupAdmissionRequest {
  readonly service: string;
  readonly model: string;
  /** Priority level; 0 is the most urgent. */
  readonly priority: number;
  /** Keys of groups that must not receive the request, because an earlier attempt there has failed. */
  readonly excludedGroups: ReadonlySet<string>;
  /** Ids of the only heads that may receive the request; undefined when all may. */
  readonly permittedServers?: ReadonlySet<string>;
  /** Whether the caller has received a part of the response. Such a request waits also when no present head takes it, since a group may form before its stream has to be broken off. */
  readonly hasStarted: boolean;
  /** Whether an attempt of the request may have run, or is running; defaults to false. */
  readonly mayHaveRun?: boolean;
  /** Whether the caller was refused and has returned at the time that it was told; defaults to false. */
  readonly isReturning?: boolean;
  /** Maximum number of concurrent requests in a group. */
  readonly slots: number;
  /** Monotonic time by which a slot must be granted for the first event to meet the latency objective, in milliseconds. */
  readonly latencyDeadlineMs: number;
  /** Monotonic time until which the request may wait for a slot, in milliseconds. */
  readonly waitDeadlineMs: number;
  readonly signal: AbortSignal;
}

/** Slot of a group, held for one request until it is released. */
export interface GroupGrant {
  readonly group: ReplicaGroup;
  /** Releases the slot; further calls have no effect. */
  release(): void;
  /** Records that the engine declined the request, so that the end of its attempt freed no slot. Called once, after the release. */
  recordDecline?(): void;
}

/** Group that a daemon considers for a request, and what speaks for it. */
export interface DescribedCandidate extends GroupCandidate {
  readonly group: ReplicaGroup;
  /** Fraction of requests that the daemon would send to the group now, from 0 to 1. */
  readonly share: number;
}

interface Waiter {
  readonly request: GroupAdmissionRequest;
  readonly settle: (grant: GroupGrant | undefined) => void;
}

/** Admits requests to groups. Requests wait at the daemon rather than at an engine, so that each gets the first free slot of any group. */
export class GroupAdmission {
  readonly #groups: GroupTable;
  readonly #loads: GroupLoads;
  readonly #sendLimits: readonly SendLimit[];
  readonly #statements: TimedSendLimit;
  readonly #zone: string;
  readonly #ownName: string;
  /** Keys of the preferred groups, by list of the groups of a model. */
  readonly #preferredKeys = new WeakMap<
    readonly ReplicaGroup[],
    ReadonlySet<string>
  >();
  readonly #getStalenessMs: () => number;
  readonly #findEstimate: (groupKey: string) => ServerEstimate | undefined;
  readonly #waits: WaitEstimates | undefined;
  /** Mean time that a request holds its slot, by model, in milliseconds. */
  readonly #meanDurationsMs = new Map<string, number>();
  readonly #waiters: Waiter[] = [];
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(
    options: {
      groups: GroupTable;
      loads: GroupLoads;
      /** Limits on the requests to a group's head. */
      sendLimits: readonly SendLimit[];
      /** What the heads state of themselves. */
      statements: TimedSendLimit;
      /** Zone of this daemon. */
      zone: string;
      /** Name of this daemon. */
      ownName: string;
      /** Gets the mean age of the loads that other daemons reported, in milliseconds. */
      getStalenessMs(): number;
      /** Finds what is learned of a group that deviates from the others; defaults to nothing. */
      findEstimate?(groupKey: string): ServerEstimate | undefined;
      /** Estimates of the waits; undefined when requests wait until their deadline. */
      waits?: WaitEstimates;
    },
  ) {
    this.#groups = options.groups;
    this.#loads = options.loads;
    this.#statements = options.statements;
    this.#sendLimits = [...options.sendLimits, options.statements];
    this.#zone = options.zone;
    this.#ownName = options.ownName;
    this.#getStalenessMs = options.getStalenessMs;
    this.#findEstimate = options.findEstimate ?? (() => undefined);
    this.#waits = options.waits;
    this.#groups.onChange(() => this.admitWaiting());
    this.#loads.onChange(() => this.admitWaiting());
    this.#statements.onChange(() => this.admitWaiting());
  }

  /** Gets the number of requests that wait for a slot. */
  get waitingCount(): number {
    return this.#waiters.length;
  }

  /** Counts the requests that wait for a slot of a model. */
  countWaiting(service: string, model: string): number {
    return this.#waiters.filter(({ request }) =>
      request.service === service && request.model === model
    ).length;
  }

  /**
   * Acquires a slot of a group, and waits for one if none is free.
   *
   * @throws {RequestError} When no slot is granted before `waitDeadlineMs` or the signal aborts; at once when the heads state that they take no request until then, or the request has hardly a chance of a slot.
   */
  async acquire(arrival: GroupAdmissionRequest): Promise<GroupGrant> {
    const request = this.#waits?.recordArrival(arrival) ?? arrival;
    const grant = this.#tryGrant(request) ?? await this.#wait(request);
    if (grant === undefined) {
      throw createCapacityError(request, this.getRetryAfterMs(request));
    }
    return grant;
  }

  /**
   * Gets the time after which the caller of a refused request should retry, in milliseconds: when the first head takes requests again, with a random part added, when slots become free for it, or about the duration of one response.
   *
   * @example
   * ```ts
   * admission.getRetryAfterMs({ service: "models", model: "m" });
   * ```
   */
  getRetryAfterMs(
    request:
      & Pick<GroupAdmissionRequest, "service" | "model">
      & Partial<GroupAdmissionRequest>,
  ): number {
    const { service, model } = request;
    const waitsMs = this.#groups.listServingGroups(service, model).map((
      { head },
    ) => this.#statements.getWaitMs(head));
    const waitMs = Math.min(...waitsMs);
    if (waitMs > 0 && Number.isFinite(waitMs)) {
      return getJitteredMs(waitMs);
    }
    return this.#waits?.createReturn(request) ?? RETRY_AFTER_MS;
  }

  /** Grants free slots to waiting requests, and ends the wait of those that no head takes in time. */
  admitWaiting(): void {
    if (this.#waiters.length === 0) {
      return;
    }
    const isHopeless = this.#waits?.createExamination();
    for (const waiter of sortWaiters(this.#waiters, performance.now())) {
      const grant = this.#tryGrant(waiter.request);
      if (
        grant !== undefined || this.#isWaitUseless(waiter.request) ||
        isHopeless?.(waiter.request) === true
      ) {
        waiter.settle(grant);
      }
    }
  }

  /** Ends the wait of requests that have hardly a chance of a slot, now that another one waits. */
  #refuseHopeless(waits: WaitEstimates): void {
    const isHopeless = waits.createExamination();
    for (const waiter of sortWaiters(this.#waiters, performance.now())) {
      if (isHopeless(waiter.request)) {
        waiter.settle(undefined);
      }
    }
  }

  /** Gets whether the heads of all groups that could serve a request leave, or pause until the request may no longer wait. Without any group a request waits, since one may form. */
  #isWaitUseless(
    request: GroupAdmissionRequest,
  ): boolean {
    const { service, model, waitDeadlineMs, hasStarted } = request;
    if (hasStarted) {
      return false;
    }
    const remainingMs = waitDeadlineMs - performance.now();
    let isAnyHeadLate = false;
    for (const group of this.#groups.listServingGroups(service, model)) {
      const waitMs = this.#statements.getWaitMs(group.head);
      if (waitMs > 0 && waitMs >= remainingMs) {
        isAnyHeadLate = true;
      } else if (isPermitted(group, request)) {
        return false;
      }
    }
    return isAnyHeadLate;
  }

  #wait(request: GroupAdmissionRequest): Promise<GroupGrant | undefined> {
    const waitMs = request.waitDeadlineMs - performance.now();
    if (
      waitMs <= 0 || request.signal.aborted || this.#isWaitUseless(request)
    ) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      const settle = (grant: GroupGrant | undefined) => {
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        this.#waits?.recordWaitEnd(request);
        resolve(grant);
      };
      const onAbort = () => settle(undefined);
      const waiter = { request, settle };
      const timer = setTimeout(onAbort, waitMs);
      request.signal.addEventListener("abort", onAbort, { once: true });
      this.#waiters.push(waiter);
      this.#waits?.recordWaitStart(request);
      if (this.#waits !== undefined) {
        this.#refuseHopeless(this.#waits);
      }
    });
  }

  #tryGrant(request: GroupAdmissionRequest): GroupGrant | undefined {
    const choice = this.#chooseGroup(request);
    if (choice === undefined) {
      return undefined;
    }
    const { group, isBeyond } = choice;
    this.#loads.addRequest(group.key);
    this.#sendLimits.forEach((limit) => limit.recordRequest(group.head));
    this.#waits?.recordGrant(request);
    const grantedAtMs = performance.now();
    let isReleased = false;
    let heldMs = 0;
    return {
      group,
      release: () => {
        if (!isReleased) {
          isReleased = true;
          heldMs = performance.now() - grantedAtMs;
          this.#recordDuration(request.model, heldMs);
          this.#waits?.recordRelease(request, { isBeyond, heldMs });
          this.#loads.removeRequest(group.key);
        }
      },
      recordDecline: () =>
        this.#waits?.recordDecline(request, group.key, { isBeyond, heldMs }),
    };
  }

  /** Schedules another admission attempt, since no event signals that a head accepts requests again. */
  #scheduleRetry(): void {
    this.#retryTimer ??= setTimeout(() => {
      this.#retryTimer = undefined;
      this.admitWaiting();
    }, SEND_LIMIT_RETRY_MS).unref();
  }

  /** Chooses the group for a request. While requests wait, groups without a known free slot may get some beyond. */
  #chooseGroup(
    request: GroupAdmissionRequest,
  ): { group: ReplicaGroup; isBeyond: boolean } | undefined {
    const { service, model, slots } = request;
    const groups: ReplicaGroup[] = [];
    for (const group of this.#groups.listServingGroups(service, model)) {
      if (!isPermitted(group, request)) {
        continue;
      }
      if (this.#sendLimits.every((limit) => limit.isBelowLimit(group.head))) {
        groups.push(group);
      } else {
        this.#scheduleRetry();
      }
    }
    const unreported = this.#getUnreportedArrivals(model);
    const candidates = this.#createCandidates(groups, request);
    const index = chooseGroup(
      candidates,
      unreported,
      Math.random(),
    );
    if (index !== undefined) {
      return { group: groups[index], isBeyond: false };
    }
    const extraSlots = this.#waiters.length === 0
      ? undefined
      : this.#waits?.listExtraSlots(
        request,
        groups.map(({ key }) => key),
        { slots, stalenessMs: unreported.stalenessMs },
      );
    const beyondIndex = extraSlots === undefined ? undefined : chooseGroup(
      candidates.map((candidate, i) => ({
        ...candidate,
        slots: candidate.slots + extraSlots[i],
      })),
      unreported,
      Math.random(),
    );
    return beyondIndex === undefined
      ? undefined
      : { group: groups[beyondIndex], isBeyond: true };
  }

  /** Creates the candidates for a choice among groups of a model. */
  #createCandidates(
    groups: readonly ReplicaGroup[],
    { service, model, slots }: Pick<
      GroupAdmissionRequest,
      "service" | "model" | "slots"
    >,
  ): GroupCandidate[] {
    const preferredKeys = this.#getPreferredKeys(
      this.#groups.listServingGroups(service, model),
    );
    const limits = applyEstimates(
      groups.map(({ key }) => this.#findEstimate(key)),
      slots,
    );
    return groups.map(({ key, head }, i) => ({
      load: this.#loads.getLoad(key),
      slots: limits?.[i].slots ?? slots,
      speed: limits?.[i].speed,
      penalty: (head.zone === this.#zone ? 0 : CROSS_ZONE_PENALTY) +
        (preferredKeys.has(key) ? 0 : UNPREFERRED_PENALTY),
    }));
  }

  #getUnreportedArrivals(model: string): UnreportedArrivals {
    return {
      stalenessMs: this.#getStalenessMs(),
      durationMs: this.#meanDurationsMs.get(model) ??
        DEFAULT_REQUEST_DURATION_MS,
      peersShare: this.#loads.getPeersShare(),
    };
  }

  /**
   * Describes the serving groups of a model, and the fraction of requests that this daemon would send to each of them now.
   *
   * @param request - Service, model and slots of a group.
   * @param drawCount - Number of evenly spaced draws from which the fractions are estimated.
   */
  describeCandidates(
    request: Pick<GroupAdmissionRequest, "service" | "model" | "slots">,
    drawCount: number,
  ): DescribedCandidate[] {
    const groups = this.#groups.listServingGroups(
      request.service,
      request.model,
    );
    const usableGroups = groups.filter(({ head }) =>
      this.#sendLimits.every((limit) => limit.isBelowLimit(head))
    );
    const usableCandidates = this.#createCandidates(usableGroups, request);
    const unreported = this.#getUnreportedArrivals(request.model);
    const draws = new Map<string, number>();
    for (let draw = 0; draw < drawCount; draw++) {
      const index = chooseGroup(
        usableCandidates,
        unreported,
        (draw + 0.5) / drawCount,
      );
      if (index !== undefined) {
        const { key } = usableGroups[index];
        draws.set(key, (draws.get(key) ?? 0) + 1);
      }
    }
    return this.#createCandidates(groups, request).map((candidate, i) => ({
      ...candidate,
      group: groups[i],
      share: (draws.get(groups[i].key) ?? 0) / drawCount,
    }));
  }

  #getPreferredKeys(
    groups: readonly ReplicaGroup[],
  ): ReadonlySet<string> {
    let keys = this.#preferredKeys.get(groups);
    if (keys === undefined) {
      const localKeys = groups.filter(({ head }) => head.zone === this.#zone)
        .map(({ key }) => key);
      keys = new Set(
        getRendezvousOrder(this.#ownName, localKeys)
          .slice(0, PREFERRED_GROUP_COUNT),
      );
      this.#preferredKeys.set(groups, keys);
    }
    return keys;
  }

  #recordDuration(model: string, durationMs: number): void {
    const meanMs = this.#meanDurationsMs.get(model) ??
      DEFAULT_REQUEST_DURATION_MS;
    this.#meanDurationsMs.set(
      model,
      meanMs + (durationMs - meanMs) * DURATION_SMOOTHING_FACTOR,
    );
  }
}

/** Delay after which the caller of a refused request should retry, in milliseconds: about the duration of one response. */
const RETRY_AFTER_MS = 500;

/** Gets whether the group may receive the request. */
function isPermitted(
  { key, head }: ReplicaGroup,
  { excludedGroups, permittedServers }: GroupAdmissionRequest,
): boolean {
  return !excludedGroups.has(key) &&
    permittedServers?.has(head.id) !== false;
}

function createCapacityError(
  request: GroupAdmissionRequest,
  retryAfterMs: number,
): RequestError {
  return new RequestError(
    `No group of the model "${request.model}" has a free slot`,
    {
      code: "no-capacity",
      verdict: "not-run",
      status: 503,
      retryAfterMs,
    },
  );
}
