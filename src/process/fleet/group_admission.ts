import { RequestError } from "../../shared/errors.ts";
import type { ColdLimits } from "./cold_limits.ts";
import { chooseGroup } from "./group_choice.ts";
import type { GroupTable, ReplicaGroup } from "./group_table.ts";
import type { GroupLoads } from "./group_loads.ts";

/** Time after which a group with a cold head is looked at again, in milliseconds. */
const COLD_RETRY_MS = 100;

/** Requests by which a group in another zone counts as more loaded: its bytes cross zones, and fewer groups keep more connections in use. So small a difference in load is not felt in the time of a step. */
const OTHER_ZONE_HANDICAP = 1.5;
/** Time that a request is taken to occupy its place before any has ended, in milliseconds. */
const DEFAULT_DURATION_MS = 1_000;
/** Weight of the last request in the mean of these times. */
const DURATION_WEIGHT = 0.05;

/** What a request asks of the admission. */
export interface GroupDemand {
  readonly service: string;
  readonly model: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Groups that the request is not sent to again. */
  readonly excludedGroups: ReadonlySet<string>;
  /** Requests that a group runs at once. */
  readonly slots: number;
  /** Monotonic time until which a place still lets the first event arrive within the objective, in milliseconds. */
  readonly onTimeUntilMs: number;
  /** Monotonic time until which the request waits for a place, in milliseconds. */
  readonly waitUntilMs: number;
  readonly signal: AbortSignal;
}

/** Right to send one request to a group. */
export interface GroupGrant {
  readonly group: ReplicaGroup;
  /** Gives the place back. */
  release(): void;
}

interface Waiter {
  readonly demand: GroupDemand;
  readonly settle: (grant: GroupGrant | undefined) => void;
}

/**
 * Orders the requests that wait: the more urgent first, then those that can still be on time, then by their arrival. In a burst that outlasts the places, first-come-first-served would make every request late; this order keeps as many on time as there are places, and the late ones get what is left.
 *
 * @param waiting - Requests in the order of their arrival.
 * @param nowMs - Monotonic time in milliseconds.
 */
export function sortWaiting<T extends { readonly demand: GroupDemand }>(
  waiting: readonly T[],
  nowMs: number,
): T[] {
  const isLate = ({ demand }: T) => Number(demand.onTimeUntilMs < nowMs);
  return [...waiting].sort((a, b) =>
    a.demand.priority - b.demand.priority || isLate(a) - isLate(b)
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
  readonly #durations = new Map<string, number>();
  readonly #waiters: Waiter[] = [];
  #coldTimer: NodeJS.Timeout | undefined;

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
    this.#groups.onChange(() => this.refresh());
    this.#loads.onChange(() => this.refresh());
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
  async acquire(demand: GroupDemand): Promise<GroupGrant> {
    const grant = this.#tryGrant(demand) ?? await this.#wait(demand);
    if (grant === undefined) {
      throw createCapacityError(demand);
    }
    return grant;
  }

  /** Gives free places to the requests that wait. */
  refresh(): void {
    if (this.#waiters.length === 0) {
      return;
    }
    for (const waiter of sortWaiting(this.#waiters, performance.now())) {
      const grant = this.#tryGrant(waiter.demand);
      if (grant !== undefined) {
        waiter.settle(grant);
      }
    }
  }

  #wait(demand: GroupDemand): Promise<GroupGrant | undefined> {
    const waitMs = demand.waitUntilMs - performance.now();
    if (waitMs <= 0 || demand.signal.aborted) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      const settle = (grant: GroupGrant | undefined) => {
        clearTimeout(timer);
        demand.signal.removeEventListener("abort", onAbort);
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        resolve(grant);
      };
      const onAbort = () => settle(undefined);
      const waiter = { demand, settle };
      const timer = setTimeout(onAbort, waitMs);
      demand.signal.addEventListener("abort", onAbort, { once: true });
      this.#waiters.push(waiter);
    });
  }

  #tryGrant(demand: GroupDemand): GroupGrant | undefined {
    const group = this.#chooseGroup(demand);
    if (group === undefined) {
      return undefined;
    }
    this.#loads.add(group.key);
    this.#coldLimits.record(group.head);
    const grantedAtMs = performance.now();
    let isReleased = false;
    return {
      group,
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.#recordDuration(
            demand.model,
            performance.now() - grantedAtMs,
          );
          this.#loads.remove(group.key);
        }
      },
    };
  }

  /** No other event tells when a cold head takes the next request. */
  #refreshLater(): void {
    this.#coldTimer ??= setTimeout(() => {
      this.#coldTimer = undefined;
      this.refresh();
    }, COLD_RETRY_MS).unref();
  }

  #chooseGroup(demand: GroupDemand): ReplicaGroup | undefined {
    const { service, model, excludedGroups, slots } = demand;
    const groups: ReplicaGroup[] = [];
    for (const group of this.#groups.listServingGroups(service, model)) {
      if (excludedGroups.has(group.key)) {
        continue;
      }
      if (this.#coldLimits.isOpen(group.head)) {
        groups.push(group);
      } else {
        this.#refreshLater();
      }
    }
    const candidates = groups.map(({ key, head }) => ({
      load: this.#loads.getLoad(key),
      slots,
      handicap: head.zone === this.#zone ? 0 : OTHER_ZONE_HANDICAP,
    }));
    const index = chooseGroup(candidates, {
      stalenessMs: this.#getStalenessMs(),
      durationMs: this.#durations.get(model) ?? DEFAULT_DURATION_MS,
      othersShare: this.#loads.getPeersShare(),
    }, Math.random());
    return index === undefined ? undefined : groups[index];
  }

  #recordDuration(model: string, durationMs: number): void {
    const mean = this.#durations.get(model) ?? DEFAULT_DURATION_MS;
    this.#durations.set(model, mean + (durationMs - mean) * DURATION_WEIGHT);
  }
}

/** Time after which a refused request may find a place, in milliseconds: about that of one answer. */
const RETRY_AFTER_MS = 500;

function createCapacityError(demand: GroupDemand): RequestError {
  return new RequestError(
    `No group of the model "${demand.model}" has a free place`,
    {
      code: "no-capacity",
      verdict: "not-run",
      status: 503,
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
