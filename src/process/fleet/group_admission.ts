import { RequestError } from "../../shared/errors.ts";
import type { ColdLimits } from "./cold_limits.ts";
import { chooseGroup } from "./group_choice.ts";
import type { GroupTable, ReplicaGroup } from "./group_table.ts";
import type { GroupLoads } from "./group_loads.ts";

/** Time after which a group with a cold head is looked at again, in milliseconds. */
const COLD_HEAD_RETRY_MS = 100;

/** Requests by which a group in another zone counts as more loaded: its bytes cross zones, and fewer groups keep more connections in use. So small a difference in load is not felt in the time of a step. */
const CROSS_ZONE_PENALTY = 1.5;
/** Time that a request is taken to occupy its place before any has ended, in milliseconds. */
const DEFAULT_REQUEST_DURATION_MS = 1_000;
/** Weight of the last request in the mean of these times. */
const DURATION_SMOOTHING_FACTOR = 0.05;

/** What a request asks of the admission. */
export interface GroupAdmissionRequest {
  readonly service: string;
  readonly model: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Groups that the request is not sent to again. */
  readonly excludedGroups: ReadonlySet<string>;
  /** Requests that a group runs at once. */
  readonly slots: number;
  /** Monotonic time until which a place still lets the first event arrive within the objective, in milliseconds. */
  readonly latencyDeadlineMs: number;
  /** Monotonic time until which the request waits for a place, in milliseconds. */
  readonly waitDeadlineMs: number;
  readonly signal: AbortSignal;
}

/** Right to send one request to a group. */
export interface GroupGrant {
  readonly group: ReplicaGroup;
  /** Gives the place back. */
  release(): void;
}

interface Waiter {
  readonly request: GroupAdmissionRequest;
  readonly settle: (grant: GroupGrant | undefined) => void;
}

/**
 * Orders the requests that wait: the more urgent first, then those that can still be on time, then by their arrival. In a burst that outlasts the places, first-come-first-served would make every request late; this order keeps as many on time as there are places, and the late ones get what is left.
 *
 * @param waiters - Waiting requests in order of arrival.
 * @param nowMs - Monotonic time in milliseconds.
 */
export function sortWaiters<
  T extends { readonly request: GroupAdmissionRequest },
>(
  waiters: readonly T[],
  nowMs: number,
): T[] {
  const getLateness = ({ request }: T) =>
    Number(request.latencyDeadlineMs < nowMs);
  return [...waiters].sort((a, b) =>
    a.request.priority - b.request.priority || getLateness(a) - getLateness(b)
  );
}

/** Gives requests their places in groups. Requests wait here rather than at an engine, so that the first free place of any group serves them. */
export class GroupAdmission {
  readonly #groups: GroupTable;
  readonly #loads: GroupLoads;
  readonly #coldLimits: ColdLimits;
  readonly #zone: string;
  readonly #getStalenessMs: () => number;
  /** Mean time that a request occupies its place, by model, in milliseconds. */
  readonly #meanDurationsMs = new Map<string, number>();
  readonly #waiters: Waiter[] = [];
  #coldRetryTimer: NodeJS.Timeout | undefined;

  constructor(
    options: {
      groups: GroupTable;
      loads: GroupLoads;
      coldLimits: ColdLimits;
      zone: string;
      /** Gets the mean age of the loads of the other daemons, in milliseconds. */
      getStalenessMs(): number;
    },
  ) {
    this.#groups = options.groups;
    this.#loads = options.loads;
    this.#coldLimits = options.coldLimits;
    this.#zone = options.zone;
    this.#getStalenessMs = options.getStalenessMs;
    this.#groups.onChange(() => this.admitWaiting());
    this.#loads.onChange(() => this.admitWaiting());
  }

  /** Gets the number of requests that wait for a place. */
  get waiting(): number {
    return this.#waiters.length;
  }

  /**
   * Waits for a place in a group.
   *
   * @throws {RequestError} When no place is free in time.
   */
  async acquire(request: GroupAdmissionRequest): Promise<GroupGrant> {
    const grant = this.#tryGrant(request) ?? await this.#wait(request);
    if (grant === undefined) {
      throw createCapacityError(request);
    }
    return grant;
  }

  /** Gives free places to the requests that wait. */
  admitWaiting(): void {
    if (this.#waiters.length === 0) {
      return;
    }
    for (const waiter of sortWaiters(this.#waiters, performance.now())) {
      const grant = this.#tryGrant(waiter.request);
      if (grant !== undefined) {
        waiter.settle(grant);
      }
    }
  }

  #wait(request: GroupAdmissionRequest): Promise<GroupGrant | undefined> {
    const waitMs = request.waitDeadlineMs - performance.now();
    if (waitMs <= 0 || request.signal.aborted) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      const settle = (grant: GroupGrant | undefined) => {
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        resolve(grant);
      };
      const onAbort = () => settle(undefined);
      const waiter = { request, settle };
      const timer = setTimeout(onAbort, waitMs);
      request.signal.addEventListener("abort", onAbort, { once: true });
      this.#waiters.push(waiter);
    });
  }

  #tryGrant(request: GroupAdmissionRequest): GroupGrant | undefined {
    const group = this.#chooseGroup(request);
    if (group === undefined) {
      return undefined;
    }
    this.#loads.addRequest(group.key);
    this.#coldLimits.recordRequest(group.head);
    const grantedAtMs = performance.now();
    let isReleased = false;
    return {
      group,
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.#recordDuration(
            request.model,
            performance.now() - grantedAtMs,
          );
          this.#loads.removeRequest(group.key);
        }
      },
    };
  }

  /** No other event tells when a cold head takes the next request. */
  #scheduleRetry(): void {
    this.#coldRetryTimer ??= setTimeout(() => {
      this.#coldRetryTimer = undefined;
      this.admitWaiting();
    }, COLD_HEAD_RETRY_MS).unref();
  }

  #chooseGroup(request: GroupAdmissionRequest): ReplicaGroup | undefined {
    const { service, model, excludedGroups, slots } = request;
    const groups: ReplicaGroup[] = [];
    for (const group of this.#groups.listServing(service, model)) {
      if (excludedGroups.has(group.key)) {
        continue;
      }
      if (this.#coldLimits.isBelowLimit(group.head)) {
        groups.push(group);
      } else {
        this.#scheduleRetry();
      }
    }
    const candidates = groups.map(({ key, head }) => ({
      load: this.#loads.getLoad(key),
      slots,
      penalty: head.zone === this.#zone ? 0 : CROSS_ZONE_PENALTY,
    }));
    const index = chooseGroup(candidates, {
      stalenessMs: this.#getStalenessMs(),
      durationMs: this.#meanDurationsMs.get(model) ??
        DEFAULT_REQUEST_DURATION_MS,
      peersShare: this.#loads.getPeersShare(),
    }, Math.random());
    return index === undefined ? undefined : groups[index];
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

/** Time after which a refused request may find a place, in milliseconds: about that of one answer. */
const RETRY_AFTER_MS = 500;

function createCapacityError(request: GroupAdmissionRequest): RequestError {
  return new RequestError(
    `No group of the model "${request.model}" has a free place`,
    {
      code: "no-capacity",
      verdict: "not-run",
      status: 503,
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
