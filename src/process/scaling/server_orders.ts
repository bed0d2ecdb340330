import type { DutyCallOutcome } from "../../connection/duty_client.ts";

/** Time after which a call without a response is no longer carried out, in milliseconds. The platform states that it may take seconds; calls are given up after 2 s. */
export const LATE_CALL_MS = 10_000;
/** First delay before an order is repeated that was limited or had no response, in milliseconds. */
const MIN_RETRY_MS = 1_000;
/** Longest delay before an order is repeated, in milliseconds. */
const MAX_RETRY_MS = 8_000;

/** Order for the servers of one zone. */
export interface ZoneOrder {
  readonly zone: string;
  readonly count: number;
}

/** What is known of the orders for one zone. */
interface ZoneRecord {
  /** Number that was last ordered; undefined when the platform refused all orders. */
  count: number | undefined;
  /** Monotonic time of the last order in milliseconds. */
  orderedAtMs: number;
  /** Whether the zone has had the last count since it was ordered. */
  isReached: boolean;
  /** Whether no call with the last count has been confirmed. */
  isUnconfirmed: boolean;
  /** Number of calls since the last confirmed one. */
  failures: number;
  /** Monotonic time before which the zone gets no order, in milliseconds. */
  retryAtMs: number;
  /** Counts of the calls without a response, with the monotonic time until which the platform may apply each, in milliseconds. */
  readonly lateCalls: Map<number, number>;
}

/** Remembers the orders of one service that this daemon has made under one fencing token, so that each is repeated only where its outcome is unknown. */
export class ServerOrders {
  readonly #records = new Map<string, ZoneRecord>();

  /** Forgets all orders, as those of another holder may have followed. */
  clear(): void {
    this.#records.clear();
  }

  /** Gets the number that was last ordered for a zone, or undefined. */
  getCount(zone: string): number | undefined {
    return this.#records.get(zone)?.count;
  }

  /** Gets the time since the last order for a zone in milliseconds; infinite without one. */
  getAgeMs(zone: string): number {
    return performance.now() -
      (this.#records.get(zone)?.orderedAtMs ?? Number.NEGATIVE_INFINITY);
  }

  /** Gets whether a zone has had the last ordered number of servers since the order. */
  isReached(zone: string): boolean {
    return this.#records.get(zone)?.isReached ?? true;
  }

  /** Records the number of servers that a zone has. */
  observeCount(zone: string, count: number): void {
    const record = this.#records.get(zone);
    if (record !== undefined) {
      record.isReached ||= record.count === count;
    }
  }

  /** Gets whether a zone may get an order now. */
  takesOrder(zone: string): boolean {
    return (this.#records.get(zone)?.retryAtMs ?? 0) <= performance.now();
  }

  /** Gets whether the platform may apply another count than the last one, or may not have applied that. */
  isUncertain(zone: string): boolean {
    const record = this.#records.get(zone);
    return record !== undefined &&
      (record.isUnconfirmed || listOtherLateCalls(record).length > 0);
  }

  /** Lists the orders to be repeated: those that are unconfirmed, and once those that a late call may have replaced. */
  listRepeats(): ZoneOrder[] {
    const nowMs = performance.now();
    return [...this.#records].flatMap(([zone, record]) => {
      const { count, isUnconfirmed, retryAtMs } = record;
      const mayBeReplaced = listOtherLateCalls(record).some((untilMs) =>
        untilMs <= nowMs
      );
      return count !== undefined && retryAtMs <= nowMs &&
          (isUnconfirmed || mayBeReplaced)
        ? [{ zone, count }]
        : [];
    });
  }

  /**
   * Records the outcome of an order.
   *
   * @param order - Order that was sent.
   * @param outcome - Outcome of its call; `fenced` clears all orders.
   */
  recordOutcome({ zone, count }: ZoneOrder, outcome: DutyCallOutcome): void {
    if (outcome === "fenced") {
      this.clear();
      return;
    }
    const nowMs = performance.now();
    const record = this.#getRecord(zone);
    if (outcome === "limited") {
      record.failures++;
    } else {
      if (outcome === "unknown") {
        record.lateCalls.set(count, nowMs + LATE_CALL_MS);
      } else {
        record.lateCalls.forEach((untilMs, lateCount) => {
          if (untilMs <= nowMs) {
            record.lateCalls.delete(lateCount);
          }
        });
      }
      record.count = count;
      record.isReached = false;
      record.orderedAtMs = nowMs;
      record.isUnconfirmed = outcome === "unknown";
      record.failures = outcome === "unknown" ? record.failures + 1 : 0;
    }
    record.retryAtMs = record.failures === 0 ? nowMs : nowMs +
      Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (record.failures - 1));
  }

  #getRecord(zone: string): ZoneRecord {
    let record = this.#records.get(zone);
    if (record === undefined) {
      record = {
        count: undefined,
        orderedAtMs: Number.NEGATIVE_INFINITY,
        isReached: true,
        isUnconfirmed: false,
        failures: 0,
        retryAtMs: 0,
        lateCalls: new Map(),
      };
      this.#records.set(zone, record);
    }
    return record;
  }
}

/** Lists the times until which the platform may apply counts other than the last one, in milliseconds. */
function listOtherLateCalls({ count, lateCalls }: ZoneRecord): number[] {
  return [...lateCalls].flatMap(([lateCount, untilMs]) =>
    lateCount === count ? [] : [untilMs]
  );
}
