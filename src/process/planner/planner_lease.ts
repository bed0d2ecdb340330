import { randomUUID } from "node:crypto";
import type {
  ObjectStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { ORDER_TIMEOUT_MS } from "../../connection/http_engine_client.ts";

/** Value of the stored object `lease/planner-<zone>`. */
export interface LeaseValue {
  /** Name of the daemon that holds the lease; empty after a release. */
  readonly holder: string;
  /** Identifies the process of the holder, since a restarted daemon has the same name. */
  readonly instance: string;
  /** Identifies the write, so that the holder can check whether a write took effect when its response was lost. */
  readonly writeId: string;
  readonly durationMs: number;
}

/** Options of a lease. */
export interface PlannerLeaseOptions {
  readonly store: ObjectStore;
  readonly zone: string;
  /** Name of this daemon. */
  readonly holder: string;
  readonly durationMs: number;
}

interface LeaseObservation {
  readonly version: number;
  readonly value: LeaseValue | undefined;
  /** Monotonic time at which this daemon first read this version, in milliseconds. */
  readonly firstSeenAtMs: number;
}

/** Lease that allows one daemon at a time to run the planner of a zone. It is stored with conditional writes, and each daemon measures its duration on its own monotonic clock. */
export class PlannerLease {
  readonly #options: PlannerLeaseOptions;
  readonly #instance = randomUUID();
  #lastObservation: LeaseObservation | undefined;
  #heldUntilMs = Number.NEGATIVE_INFINITY;
  #renewalDueAtMs = Number.NEGATIVE_INFINITY;
  #unfencedOrdersAllowedAtMs = 0;
  #isReleased = false;

  constructor(options: PlannerLeaseOptions) {
    this.#options = options;
  }

  /** Gets whether this daemon holds the lease now. */
  isHeld(): boolean {
    return performance.now() < this.#heldUntilMs;
  }

  /**
   * Gets whether this daemon may send an order to an engine now.
   *
   * @param honoursFencing - Whether the engine refuses orders with a lower generation than its own. If not, orders are sent only after those of the previous holder can no longer arrive.
   */
  isOrderAllowed(honoursFencing: boolean): boolean {
    return this.isHeld() &&
      (honoursFencing || performance.now() >= this.#unfencedOrdersAllowedAtMs);
  }

  /**
   * Acquires the lease, or renews it when a renewal is due.
   *
   * @param acquisitionDelayMs - Time in milliseconds for which a free lease is left to candidates with precedence.
   * @returns Whether this call acquired the lease: it is held now and was not held before.
   */
  async refresh(acquisitionDelayMs = 0): Promise<boolean> {
    if (this.#isReleased || performance.now() < this.#renewalDueAtMs) {
      return false;
    }
    const wasHeld = this.isHeld();
    if (
      this.#lastObservation === undefined ||
      !this.#isOwnValue(this.#lastObservation.value)
    ) {
      if (!await this.#readLease() || !this.#isAvailable(acquisitionDelayMs)) {
        return false;
      }
    }
    await this.#writeLease();
    return !wasHeld && this.isHeld();
  }

  /** Releases the lease permanently, so that another daemon can acquire it without waiting until it expires. */
  async release(): Promise<void> {
    this.#isReleased = true;
    const isOwnValue = this.#lastObservation !== undefined &&
      this.#isOwnValue(this.#lastObservation.value);
    this.#heldUntilMs = Number.NEGATIVE_INFINITY;
    if (isOwnValue) {
      await this.#options.store.putObject({
        ...this.#getKey(),
        value: { ...this.#createValue(), holder: "", instance: "" },
        expectedVersion: this.#lastObservation!.version,
      });
    }
  }

  #getKey(): { kind: string; name: string } {
    return { kind: "lease", name: `planner-${this.#options.zone}` };
  }

  #createValue(): LeaseValue {
    return {
      holder: this.#options.holder,
      instance: this.#instance,
      writeId: randomUUID(),
      durationMs: this.#options.durationMs,
    };
  }

  /** Gets whether this process wrote the value. */
  #isOwnValue(value: LeaseValue | undefined): boolean {
    return value?.instance === this.#instance;
  }

  /** Reads the lease from the store and records when its version was first read. Returns `false` if the read fails. */
  async #readLease(): Promise<boolean> {
    const { kind, name } = this.#getKey();
    const result = await this.#options.store.getObject(kind, name);
    return result.caseOf({
      Left: () => false,
      Right: (object) => {
        this.#recordObservation(object);
        return true;
      },
    });
  }

  #recordObservation(object: StoredObject | undefined): void {
    const version = object?.version ?? 0;
    if (this.#lastObservation?.version !== version) {
      this.#lastObservation = {
        version,
        value: object?.value as LeaseValue | undefined,
        firstSeenAtMs: performance.now(),
      };
    }
  }

  /** Gets whether this daemon may write the lease: it wrote the current value, or the lease was released or has expired and the delay has passed. */
  #isAvailable(acquisitionDelayMs: number): boolean {
    const { value, firstSeenAtMs } = this.#lastObservation!;
    const unchangedForMs = performance.now() - firstSeenAtMs;
    if (this.#isOwnValue(value)) {
      return true;
    }
    if (value === undefined || value.holder === "") {
      return unchangedForMs >= acquisitionDelayMs;
    }
    const durationMs = Math.max(value.durationMs, this.#options.durationMs);
    return unchangedForMs >= durationMs + acquisitionDelayMs;
  }

  async #writeLease(): Promise<void> {
    const previousObservation = this.#lastObservation!;
    const value = this.#createValue();
    // The holder counts the duration from before the write is sent, and other daemons from when they first read the new version, so the lease ends for the holder before another daemon can acquire it.
    const sentAtMs = performance.now();
    const outcome = await this.#options.store.putObject({
      ...this.#getKey(),
      value,
      expectedVersion: previousObservation.version,
    });
    if (outcome.outcome === "written") {
      const { version } = outcome;
      this.#applyWrite(previousObservation, { version, value, sentAtMs });
    } else if (outcome.outcome === "conflict") {
      this.#heldUntilMs = Number.NEGATIVE_INFINITY;
      this.#lastObservation = undefined;
      await this.#readLease();
    } else {
      await this.#confirmWrite(previousObservation, { value, sentAtMs });
    }
  }

  /** Reads the lease back after a write with an unknown outcome, and applies the write if it took effect. */
  async #confirmWrite(
    previousObservation: LeaseObservation,
    write: { value: LeaseValue; sentAtMs: number },
  ): Promise<void> {
    this.#lastObservation = undefined;
    if (await this.#readLease()) {
      const { version, value } = this.#lastObservation!;
      if (value?.writeId === write.value.writeId) {
        this.#applyWrite(previousObservation, { ...write, version });
      }
    }
  }

  #applyWrite(
    previousObservation: LeaseObservation,
    write: { version: number; value: LeaseValue; sentAtMs: number },
  ): void {
    if (this.#isReleased) {
      return;
    }
    const isAcquired = !this.#isOwnValue(previousObservation.value);
    const now = performance.now();
    this.#lastObservation = {
      version: write.version,
      value: write.value,
      firstSeenAtMs: now,
    };
    this.#heldUntilMs = write.sentAtMs + this.#options.durationMs;
    this.#renewalDueAtMs = write.sentAtMs + this.#options.durationMs / 3;
    if (isAcquired) {
      this.#unfencedOrdersAllowedAtMs = now +
        getOrderWaitMs(previousObservation.value);
    }
  }
}

/** Gets the time for which orders of the previous holder may still be in flight, in milliseconds. */
function getOrderWaitMs(previousValue: LeaseValue | undefined): number {
  if (previousValue === undefined) {
    return 0;
  }
  return previousValue.holder === ""
    ? ORDER_TIMEOUT_MS
    : previousValue.durationMs + ORDER_TIMEOUT_MS;
}
