import { planReturn } from "./retry_after.ts";
import { getSlotChance, MIN_SLOT_CHANCE } from "./slot_chance.ts";
import { getPriorityIndex, PRIORITY_COUNT } from "./waiting_numbers.ts";
import { WindowCounter } from "./window_counter.ts";

/** Time over which arrivals and freed slots are counted, in milliseconds: two durations of a request, of about 1 s. */
export const WINDOW_MS = 2_000;
/** Time over which granted slots are counted, in milliseconds. It is shorter than the window, so that the loss of groups shows soon. */
const GRANT_SPAN_MS = 1_000;
/** Time over which a decrease of the arrivals is noticed, in milliseconds. */
const RECENT_ARRIVALS_MS = 500;
/** Time over which a decrease of the load of other daemons is measured, in milliseconds: five of their notices. */
const FALL_SPAN_MS = 500;
/** Minimum number of slots that must have become free within the window before a wait is estimated. With fewer, the standard deviation of the count exceeds half of it. */
const MIN_FREED_SLOTS = 5;

/** Loads of the serving groups of a model. */
export interface ModelLoad {
  /** Requests in flight, over all daemons. */
  readonly inFlight: number;
  /** Share of the slots that become free which this daemon can expect, from 0 to 1. */
  readonly share: number;
}

/** Flow of the slots of a model, as far as a daemon observes it. */
export interface SlotFlow {
  /** Slots that this daemon can expect within the window. */
  readonly served: number;
  /** Slots that became free within the window, over all daemons. */
  readonly freed: number;
}

/** Observes the arrivals, granted and freed slots of one model, and estimates what its waiting requests can expect. */
export class ModelWaits {
  readonly #grants = new WindowCounter(WINDOW_MS);
  readonly #releases = new WindowCounter(WINDOW_MS);
  readonly #heldMs = new WindowCounter(WINDOW_MS);
  readonly #peerReleases = new WindowCounter(WINDOW_MS);
  /** Decreases of the loads of other daemons less their increases. */
  readonly #peerFall = new WindowCounter(WINDOW_MS);
  readonly #arrivals = Array.from(
    { length: PRIORITY_COUNT },
    () => new WindowCounter(WINDOW_MS),
  );
  /** Monotonic time of the last slot that is promised to a refused caller, in milliseconds. */
  #promisedAtMs = Number.NEGATIVE_INFINITY;
  #peerLoads: ReadonlyMap<string, number> = new Map();

  /** Gets the time until the last slot that is promised to a refused caller, in milliseconds; 0 when none is. */
  get promisedMs(): number {
    return Math.max(0, this.#promisedAtMs - performance.now());
  }

  /** Records a request that asks for a slot. */
  recordArrival(priority: number): void {
    this.#arrivals[getPriorityIndex(priority)].add(1, performance.now());
  }

  /** Records a slot that this daemon granted. */
  recordGrant(): void {
    this.#grants.add(1, performance.now());
  }

  /** Records the end of a request of this daemon that held its slot for `durationMs`. */
  recordRelease(durationMs: number): void {
    this.#addRelease(1, durationMs);
  }

  /** Takes back an arrival, its grant and its release, because the engine declined the request: no slot became free. */
  removeAttempt(priority: number, durationMs: number): void {
    this.#arrivals[getPriorityIndex(priority)].add(-1, performance.now());
    this.#grants.add(-1, performance.now());
    this.#addRelease(-1, durationMs);
  }

  /**
   * Observes the loads that other daemons report. A decrease is at least as many freed slots; what they fill again at once does not show.
   *
   * @param loads - Requests in flight of other daemons, by serving group.
   */
  observePeerLoads(loads: ReadonlyMap<string, number>): void {
    const nowMs = performance.now();
    for (const [key, load] of loads) {
      const fall = (this.#peerLoads.get(key) ?? load) - load;
      this.#peerFall.add(fall, nowMs);
      this.#peerReleases.add(Math.max(0, fall), nowMs);
    }
    this.#peerLoads = loads;
  }

  /** Gets the requests by which the load of other daemons has fallen per millisecond; 0 when it has not. */
  getPeerFallPerMs(): number {
    const fall = this.#peerFall.count(FALL_SPAN_MS, performance.now());
    return Math.max(0, fall) / FALL_SPAN_MS;
  }

  /** Gets the mean time that a request held its slot within the window, in milliseconds; undefined without evidence. */
  getDurationMs(): number | undefined {
    const nowMs = performance.now();
    const releases = this.#releases.count(WINDOW_MS, nowMs);
    return releases <= 0
      ? undefined
      : Math.max(1, this.#heldMs.count(WINDOW_MS, nowMs) / releases);
  }

  /** Gets the flow of slots; undefined without evidence. */
  getFlow({ inFlight, share }: ModelLoad): SlotFlow | undefined {
    const nowMs = performance.now();
    const releases = this.#releases.count(WINDOW_MS, nowMs);
    const durationMs = this.getDurationMs();
    const freed = Math.max(
      releases + this.#peerReleases.count(WINDOW_MS, nowMs),
      durationMs === undefined ? 0 : inFlight * WINDOW_MS / durationMs,
    );
    const observed = Math.max(
      releases,
      this.#peerReleases.count(WINDOW_MS, nowMs),
    );
    if (observed < MIN_FREED_SLOTS) {
      return undefined;
    }
    const granted = this.#grants.count(GRANT_SPAN_MS, nowMs) *
      (WINDOW_MS / GRANT_SPAN_MS);
    return { served: Math.max(granted, freed * share), freed };
  }

  /** Counts the requests that have arrived within the window with a priority not below `priority`; fewer when their rate has fallen since. */
  countArrivals(priority: number): number {
    const nowMs = performance.now();
    const counters = this.#arrivals.slice(0, getPriorityIndex(priority) + 1);
    const sum = (spanMs: number) =>
      counters.reduce(
        (total, counter) => total + counter.count(spanMs, nowMs),
        0,
      );
    return Math.max(
      0,
      Math.min(
        sum(WINDOW_MS),
        sum(RECENT_ARRIVALS_MS) * (WINDOW_MS / RECENT_ARRIVALS_MS),
      ),
    );
  }

  /**
   * Gets whether a waiting request has hardly a chance of a slot.
   *
   * @param request - Priority, requests ahead, and the time that it may still wait, in milliseconds.
   */
  isHopeless(
    flow: SlotFlow,
    { priority, ahead, remainingMs }: {
      priority: number;
      ahead: number;
      remainingMs: number;
    },
  ): boolean {
    return getSlotChance({
      ahead,
      served: flow.served,
      arrivals: this.countArrivals(priority),
      windowMs: WINDOW_MS,
      remainingMs,
    }) < MIN_SLOT_CHANCE;
  }

  /**
   * Promises a slot to a refused caller, and gets the time after which the caller should return, in milliseconds.
   *
   * @param waiting - Requests that wait for a slot, at all daemons.
   */
  addReturn(flow: SlotFlow, waiting: number): number {
    const { promisedMs, returnMs } = planReturn({
      queueMs: waiting * WINDOW_MS / Math.max(1, flow.freed),
      promisedMs: this.#promisedAtMs - performance.now(),
      slotsPerMs: Math.max(1, flow.served) / WINDOW_MS,
    }, Math.random());
    this.#promisedAtMs = performance.now() + promisedMs;
    return returnMs;
  }

  #addRelease(amount: number, durationMs: number): void {
    const nowMs = performance.now();
    this.#releases.add(amount, nowMs);
    this.#heldMs.add(amount * durationMs, nowMs);
  }
}
