import { randomUUID } from "node:crypto";
import type {
  ObjectStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { ORDER_TIMEOUT_MS } from "../../connection/http_engine_client.ts";

/** Value of the object `lease/planner-<zone>`. */
export interface LeaseValue {
  /** Name of the holding daemon; empty after a release. */
  readonly holder: string;
  /** Identifies the holder's process, since a name may be used again. */
  readonly instance: string;
  /** Identifies the write, so that one with a lost answer is recognised. */
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

interface ObservedLease {
  readonly version: number;
  readonly value: LeaseValue | undefined;
  /** Monotonic time at which this version was first seen, in milliseconds. */
  readonly sinceMs: number;
}

/** Lease of one zone's planner, kept by conditional updates and monotonic clocks. */
export class PlannerLease {
  readonly #options: PlannerLeaseOptions;
  readonly #instance = randomUUID();
  #observed: ObservedLease | undefined;
  #heldUntilMs = Number.NEGATIVE_INFINITY;
  #renewAtMs = Number.NEGATIVE_INFINITY;
  #unfencedOrdersAtMs = 0;
  #released = false;

  constructor(options: PlannerLeaseOptions) {
    this.#options = options;
  }

  /** Gets whether the lease is held now, by the monotonic clock. */
  isHeld(): boolean {
    return performance.now() < this.#heldUntilMs;
  }

  /**
   * Gets whether an order may be sent now to an engine.
   *
   * @param honoursFencing - Whether the engine refuses old generations; if not, orders of the previous holder must have ended.
   */
  takesOrder(honoursFencing: boolean): boolean {
    return this.isHeld() &&
      (honoursFencing || performance.now() >= this.#unfencedOrdersAtMs);
  }

  /**
   * Acquires the lease or renews it when that is due.
   *
   * @param takeOverDelayMs - Time in milliseconds that a free lease is left to daemons that come first.
   * @returns Whether the lease is held now and was not held before the call.
   */
  async refresh(takeOverDelayMs = 0): Promise<boolean> {
    if (this.#released || performance.now() < this.#renewAtMs) {
      return false;
    }
    const heldBefore = this.isHeld();
    if (this.#observed === undefined || !this.#isOwn(this.#observed.value)) {
      if (!await this.#observe() || !this.#isFree(takeOverDelayMs)) {
        return false;
      }
    }
    await this.#write();
    return !heldBefore && this.isHeld();
  }

  /** Gives the lease up, so that another daemon need not wait for its expiry. */
  async release(): Promise<void> {
    this.#released = true;
    const held = this.#observed !== undefined &&
      this.#isOwn(this.#observed.value);
    this.#heldUntilMs = Number.NEGATIVE_INFINITY;
    if (held) {
      await this.#options.store.putObject({
        ...this.#getKey(),
        value: { ...this.#createValue(), holder: "", instance: "" },
        expectedVersion: this.#observed!.version,
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

  #isOwn(value: LeaseValue | undefined): boolean {
    return value?.instance === this.#instance;
  }

  /** Reads the lease and keeps the time at which its version was first seen. */
  async #observe(): Promise<boolean> {
    const { kind, name } = this.#getKey();
    const result = await this.#options.store.getObject(kind, name);
    return result.caseOf({
      Left: () => false,
      Right: (object) => {
        this.#setObserved(object);
        return true;
      },
    });
  }

  #setObserved(object: StoredObject | undefined): void {
    const version = object?.version ?? 0;
    if (this.#observed?.version !== version) {
      this.#observed = {
        version,
        value: object?.value as LeaseValue | undefined,
        sinceMs: performance.now(),
      };
    }
  }

  #isFree(takeOverDelayMs: number): boolean {
    const { value, sinceMs } = this.#observed!;
    const unchangedMs = performance.now() - sinceMs;
    if (this.#isOwn(value)) {
      return true;
    }
    if (value === undefined || value.holder === "") {
      return unchangedMs >= takeOverDelayMs;
    }
    const durationMs = Math.max(value.durationMs, this.#options.durationMs);
    return unchangedMs >= durationMs + takeOverDelayMs;
  }

  async #write(): Promise<void> {
    const before = this.#observed!;
    const value = this.#createValue();
    // The validity starts before the write is sent, so that it ends before any other daemon's count from the change.
    const sentAtMs = performance.now();
    const outcome = await this.#options.store.putObject({
      ...this.#getKey(),
      value,
      expectedVersion: before.version,
    });
    if (outcome.outcome === "written") {
      const { version } = outcome;
      this.#applyWrite(before, { version, value, sentAtMs });
    } else if (outcome.outcome === "conflict") {
      this.#heldUntilMs = Number.NEGATIVE_INFINITY;
      this.#observed = undefined;
      await this.#observe();
    } else {
      await this.#readBack(before, { value, sentAtMs });
    }
  }

  /** Finds out whether a write took effect whose answer was lost. */
  async #readBack(
    before: ObservedLease,
    write: { value: LeaseValue; sentAtMs: number },
  ): Promise<void> {
    this.#observed = undefined;
    if (await this.#observe()) {
      const { version, value } = this.#observed!;
      if (value?.writeId === write.value.writeId) {
        this.#applyWrite(before, { ...write, version });
      }
    }
  }

  #applyWrite(
    before: ObservedLease,
    write: { version: number; value: LeaseValue; sentAtMs: number },
  ): void {
    if (this.#released) {
      return;
    }
    const acquired = !this.#isOwn(before.value);
    const now = performance.now();
    this.#observed = {
      version: write.version,
      value: write.value,
      sinceMs: now,
    };
    this.#heldUntilMs = write.sentAtMs + this.#options.durationMs;
    this.#renewAtMs = write.sentAtMs + this.#options.durationMs / 3;
    if (acquired) {
      this.#unfencedOrdersAtMs = now + getOrderWaitMs(before.value);
    }
  }
}

/** Gets the time for which orders of a previous holder may still be in flight, in milliseconds. */
function getOrderWaitMs(previous: LeaseValue | undefined): number {
  if (previous === undefined) {
    return 0;
  }
  return previous.holder === ""
    ? ORDER_TIMEOUT_MS
    : previous.durationMs + ORDER_TIMEOUT_MS;
}
