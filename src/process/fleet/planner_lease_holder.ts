import {
  getGeneration,
  type SnapshotStore,
  type StoredObject,
} from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  EarlyTakeover,
  LeaseCircumstances,
} from "../takeover/early_takeover.ts";

const LEASE_NAME = "planner";
/** Holder of a lease that cannot be decoded; no daemon has this name, and the lease is not free. */
const UNKNOWN_HOLDER = "?";
/** Highest term of a lease. The generations of the groups, which are a multiple of the term, stay whole numbers up to it. */
const MAX_TERM = 1_000_000_000;
const RENEW_INTERVAL_MS = 1_000;
/** Time after the start of an acknowledged write for which the holder may act as planner, in milliseconds. */
const HOLDER_VALIDITY_MS = 2_500;
/** Time for which the holder may act as planner while the store does not respond, if backend servers refuse orders of an earlier term, in milliseconds. A time longer than `HOLDER_VALIDITY_MS` is safe: another daemon can take over only through the store, and its first order to a server fences this daemon there. */
const OUTAGE_VALIDITY_MS = 30_000;
/** Time without a renewal after which another daemon takes over the lease, in milliseconds. It exceeds the holder's validity by the time that an order may be in transit. */
const TAKEOVER_TIMEOUT_MS = 3_500;
const CHECK_INTERVAL_MS = 1_000;
/** Drift between the wall clock and the monotonic clock above which the process is assumed to have been suspended, in milliseconds. */
const SUSPENSION_THRESHOLD_MS = 500;
/** Number of terms reserved for each generation of the store. A restore of the store from a copy loses the last terms, so the terms of each generation have to exceed all that earlier ones may have given out. */
const TERMS_PER_STORE_GENERATION = 100_000;

/** Stored value of the lease object. */
interface LeaseValue {
  readonly holder: string;
  readonly term: number;
  /** Counter that rises with each renewal, so that each renewal changes the stored object. */
  readonly renewal: number;
}

/** Circumstances of a write of the lease. */
interface LeaseWrite {
  /** Monotonic time at which the write started, in milliseconds. */
  readonly startedAtMs: number;
  /** Number of drops of the lease before the write. */
  readonly dropCount: number;
}

/** Acquires, renews and releases the lease in the store that elects one daemon at a time as planner of the groups. */
export class PlannerLeaseHolder {
  readonly #store: SnapshotStore;
  readonly #kind: string;
  readonly #name: string;
  readonly #logger: Logger;
  readonly #areOrdersFenced: boolean;
  readonly #isHolderReported: () => boolean;
  readonly #getCandidateDelayMs: () => number;
  readonly #onStoreRecovered: () => void;
  readonly #takeover:
    | Pick<EarlyTakeover, "getWaitMs" | "findEvidence" | "recordTakeover">
    | undefined;
  /** Ends the wait before the next check of the lease. */
  #checkWait = new AbortController();
  /** Monotonic time at which this daemon dropped the lease, or was created, in milliseconds. */
  #idleSinceMs = performance.now();
  #isStoreReachable = true;
  #isReleased = false;
  /** Lease in the store at the last read or write. */
  #lease: LeaseValue | undefined;
  /** Lease that this daemon last held. */
  #ownLease: LeaseValue | undefined;
  /** Highest term that this daemon has read, held or heard of. */
  #highestTerm = 0;
  /** Version of the lease object at the last read or write. */
  #version = 0;
  /** Monotonic time at which the takeover timeout started: the last time that the lease changed, a peer reported a holder, or a read failed. */
  #unchangedSinceMs = performance.now();
  /** Monotonic time at which the last acknowledged write of this daemon started; undefined while it does not hold the lease. */
  #renewedAtMs: number | undefined;
  /** Monotonic time at which the first acknowledged write of the current term ended. */
  #acquiredAtMs = Number.NEGATIVE_INFINITY;
  /** Number of times that this daemon has dropped the lease. */
  #dropCount = 0;
  /** Monotonic time since which no peer has reported a holder; undefined while one is reported. */
  #holderMissingSinceMs: number | undefined;
  #clockOffsetMs = getClockOffsetMs();

  constructor(options: {
    store: SnapshotStore;
    kind: string;
    name: string;
    logger: Logger;
    /** Whether backend servers refuse orders of an earlier term. */
    areOrdersFenced: boolean;
    /** Gets whether a peer recently reported a lease holder, so that the store need not be read. */
    isHolderReported(): boolean;
    /** Gets the time for which this daemon leaves a lapsed lease to other daemons before it tries to acquire it, in milliseconds; defaults to 0. */
    getCandidateDelayMs?(): number;
    /** Called when the store responds again after a failed call. */
    onStoreRecovered(): void;
    /** Takeover of a lease whose holder's process has ended; without it, another daemon's lease has to lapse. */
    takeover?: Pick<
      EarlyTakeover,
      "getWaitMs" | "findEvidence" | "recordTakeover"
    >;
  }) {
    this.#store = options.store;
    this.#kind = options.kind;
    this.#name = options.name;
    this.#logger = options.logger;
    this.#areOrdersFenced = options.areOrdersFenced;
    this.#isHolderReported = options.isHolderReported;
    this.#getCandidateDelayMs = options.getCandidateDelayMs ?? (() => 0);
    this.#onStoreRecovered = options.onStoreRecovered;
    this.#takeover = options.takeover;
  }

  /** Gets the lease term while this daemon holds the lease, and undefined otherwise. */
  getTerm(): number | undefined {
    this.#checkSuspension();
    if (
      this.#isReleased || this.#renewedAtMs === undefined ||
      this.#ownLease === undefined ||
      performance.now() - this.#renewedAtMs > this.#getValidityMs()
    ) {
      return undefined;
    }
    return this.#ownLease.term;
  }

  /** Gets the time for which this daemon has held the lease in the current term, in milliseconds; 0 while it does not hold it. */
  getTermAgeMs(): number {
    return this.getTerm() === undefined
      ? 0
      : performance.now() - this.#acquiredAtMs;
  }

  /** Gets the time since the start of the last acknowledged write of the lease, in milliseconds; infinite while this daemon does not hold it. */
  getRenewalAgeMs(): number {
    return this.getTerm() === undefined || this.#renewedAtMs === undefined
      ? Number.POSITIVE_INFINITY
      : performance.now() - this.#renewedAtMs;
  }

  #getValidityMs(): number {
    return this.#areOrdersFenced && !this.#isStoreReachable
      ? OUTAGE_VALIDITY_MS
      : HOLDER_VALIDITY_MS;
  }

  /** Gives up the lease locally without a write to the store, for example after a backend server has received an order of a later term. */
  drop(reason: string): void {
    this.#dropCount++;
    if (this.#renewedAtMs !== undefined) {
      this.#renewedAtMs = undefined;
      this.#idleSinceMs = performance.now();
      this.#logger.write("info", "lease-dropped", {
        term: this.#ownLease?.term,
        reason,
      });
    }
  }

  /** Drops the lease of this daemon when a peer plans in a later term. */
  observeTerm(term: number, holder: string): void {
    this.#highestTerm = Math.max(this.#highestTerm, term);
    if (
      this.#renewedAtMs !== undefined && term > (this.#ownLease?.term ?? 0)
    ) {
      this.drop(`${holder} plans in term ${term}`);
    }
  }

  /** Acquires and renews the lease until the signal aborts or the lease is released. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this.wake(), { once: true });
    while (!signal.aborted && !this.#isReleased) {
      await this.#runStep();
      if (this.getTerm() === undefined) {
        await this.#waitForCheck();
      } else {
        await delay(RENEW_INTERVAL_MS, signal);
      }
    }
  }

  /** Checks the lease at once if this daemon does not hold it, for example after a report that the holder's process has ended. */
  wake(): void {
    this.#checkWait.abort();
  }

  async #waitForCheck(): Promise<void> {
    // A time of 0 is that of an attempt that has just failed, which is repeated after the usual interval.
    const waitMs = this.#takeover?.getWaitMs(this.#getCircumstances()) ||
      CHECK_INTERVAL_MS;
    await delay(Math.min(waitMs, CHECK_INTERVAL_MS), this.#checkWait.signal);
    if (this.#checkWait.signal.aborted) {
      this.#checkWait = new AbortController();
    }
  }

  /** Releases the lease permanently, so that another daemon can take over at once while this one stops. */
  async release(): Promise<void> {
    const term = this.getTerm();
    this.#isReleased = true;
    if (term !== undefined) {
      const isWritten = await this.#writeLease({
        holder: "",
        term,
        renewal: 0,
      });
      this.#logger.write("info", "lease-released", {
        term,
        outcome: isWritten ? "written" : "not confirmed",
      });
    }
  }

  async #runStep(): Promise<void> {
    if (this.getTerm() !== undefined) {
      await this.#keepLease();
      return;
    }
    if (await this.#tryEarlyTakeover()) {
      return;
    }
    if (this.#isHolderReported()) {
      this.#unchangedSinceMs = performance.now();
      this.#holderMissingSinceMs = undefined;
      return;
    }
    this.#holderMissingSinceMs ??= performance.now();
    const holderMissingMs = performance.now() - this.#holderMissingSinceMs;
    if (holderMissingMs < this.#getCandidateDelayMs()) {
      return;
    }
    await this.#readLease();
    if (this.#isLapsed() || this.#isLeaseFree()) {
      await this.#acquireLease();
    }
  }

  /** Acquires the lease if the process of its holder has ended. Returns whether this daemon holds it. */
  async #tryEarlyTakeover(): Promise<boolean> {
    if (this.#takeover?.getWaitMs(this.#getCircumstances()) !== 0) {
      return false;
    }
    await this.#readLease();
    const evidence = this.#lease &&
      this.#takeover.findEvidence(this.#lease, this.#getCircumstances());
    if (evidence === undefined || this.#isReleased) {
      return false;
    }
    await this.#acquireLease();
    const term = this.getTerm();
    if (term !== undefined) {
      this.#takeover.recordTakeover(term, evidence);
    }
    return term !== undefined;
  }

  #getCircumstances(): LeaseCircumstances {
    const idleSinceMs = Math.max(this.#idleSinceMs, this.#renewedAtMs ?? 0);
    return {
      highestTerm: this.#highestTerm,
      isStoreReachable: this.#isStoreReachable,
      idleMs: performance.now() - idleSinceMs,
    };
  }

  /** Gets whether the lease has not been renewed for so long that its holder no longer acts as planner. */
  #isLapsed(): boolean {
    return performance.now() - this.#unchangedSinceMs > TAKEOVER_TIMEOUT_MS;
  }

  /** Gets whether this daemon may acquire the lease at once. After a restore of the store, which may have lost the lease of a daemon that still acts as planner, it may do so only if backend servers refuse the orders of that daemon's earlier term. */
  #isLeaseFree(): boolean {
    if (this.#version === 0) {
      return this.#isStoreReachable && this.#highestTerm === 0;
    }
    return (this.#areOrdersFenced || !this.#isLeaseOutdated()) &&
      (this.#lease?.holder === "" || this.#lease?.holder === this.#name);
  }

  /** Gets whether the lease was last acquired before the store was restored from a copy. */
  #isLeaseOutdated(): boolean {
    return (this.#lease?.term ?? 0) < this.#getFirstTerm();
  }

  /** Gets the first term of the store's generation. */
  #getFirstTerm(): number {
    return getGeneration(this.#version) * TERMS_PER_STORE_GENERATION;
  }

  async #readLease(): Promise<void> {
    const result = await this.#store.getObject(this.#kind, LEASE_NAME);
    result.ifRight((object) => {
      const version = object?.version ?? 0;
      if (version !== this.#version) {
        this.#version = version;
        this.#unchangedSinceMs = performance.now();
        this.#lease = object === undefined
          ? undefined
          : this.#decodeLease(object);
        this.#recordTerm();
      }
    });
    this.#recordStoreResult(result.isRight());
    if (result.isLeft()) {
      // While the store does not respond, this daemon cannot detect renewals by the holder, so the takeover timeout restarts.
      this.#unchangedSinceMs = performance.now();
    }
  }

  /** Decodes the stored lease. One that cannot be decoded has an unknown holder, and the last known term, so that the terms still rise. */
  #decodeLease({ value, version }: StoredObject): LeaseValue {
    if (isLeaseValue(value)) {
      const { holder, term, renewal } = value;
      return { holder, term, renewal };
    }
    this.#logger.write("warn", "object-not-decoded", {
      kind: this.#kind,
      name: LEASE_NAME,
      version,
      message: "The planner lease must have a holder, a term and a renewal",
    });
    const { term } = (value ?? {}) as Partial<LeaseValue>;
    return {
      holder: UNKNOWN_HOLDER,
      term: Math.max(this.#lease?.term ?? 0, isTerm(term) ? term : 0),
      renewal: 0,
    };
  }

  async #acquireLease(): Promise<void> {
    const isNew = this.#version === 0;
    // A restored store may have lost the lease of a daemon that still plans.
    const isOnlyPlanner = this.#areOrdersFenced || this.#isLapsed() ||
      this.getTerm() !== undefined;
    const term = this.#createTerm();
    const lease = { holder: this.#name, term, renewal: 0 };
    if (await this.#writeLease(lease)) {
      this.#logger.write("info", "lease-acquired", { term });
    } else if (isNew && isOnlyPlanner && this.#lease === lease) {
      // The response to the creation has shown the generation of the store.
      await this.#acquireLease();
    }
  }

  #createTerm(): number {
    return Math.max(this.#highestTerm + 1, this.#getFirstTerm());
  }

  #recordTerm(): void {
    this.#highestTerm = Math.max(this.#highestTerm, this.#lease?.term ?? 0);
  }

  async #keepLease(): Promise<void> {
    if (this.#isLeaseOutdated()) {
      // The read after a write without a response has shown a restore of the store.
      await this.#acquireLease();
      return;
    }
    const lease = this.#ownLease!;
    await this.#writeLease({ ...lease, renewal: lease.renewal + 1 });
  }

  async #writeLease(value: LeaseValue): Promise<boolean> {
    const startedAtMs = performance.now();
    const dropCount = this.#dropCount;
    const writeResult = await this.#store.putObject({
      kind: this.#kind,
      name: LEASE_NAME,
      value,
      expectedVersion: this.#version,
    });
    this.#recordStoreResult(writeResult.outcome !== "unknown");
    if (writeResult.outcome === "written") {
      this.#version = writeResult.version;
      this.#lease = value;
      this.#unchangedSinceMs = performance.now();
      this.#recordTerm();
      return this.#recordWrite(value, { startedAtMs, dropCount });
    }
    if (writeResult.outcome === "conflict") {
      await this.#resolveConflict();
    } else {
      await this.#confirmWrite(value, { startedAtMs, dropCount });
    }
    return false;
  }

  /** Records that the store holds a lease which this daemon has written. Returns whether the lease is valid: after a restore of the store, another daemon may hold a lease that the store has lost in the same term. */
  #recordWrite(
    value: LeaseValue,
    { startedAtMs, dropCount }: LeaseWrite,
  ): boolean {
    if (this.#isLeaseOutdated()) {
      this.drop("the store was restored while the lease was written");
      return false;
    }
    if (dropCount !== this.#dropCount) {
      // The renewal of a lease that was dropped meanwhile must not bring its term back into use.
      return false;
    }
    if (this.#ownLease?.term !== value.term) {
      this.#acquiredAtMs = performance.now();
    }
    this.#ownLease = value;
    this.#renewedAtMs = startedAtMs;
    return true;
  }

  /** After a conflict, drops the lease unless a restore of the store is the cause. Until its lease expires, this daemon is the only planner then, as the others wait for `TAKEOVER_TIMEOUT_MS`, so it may acquire the lease in a new term at once. */
  async #resolveConflict(): Promise<void> {
    await this.#readLease();
    const isRestored = this.#version === 0 || this.#isLeaseOutdated();
    if (this.getTerm() !== undefined && this.#isStoreReachable && isRestored) {
      await this.#acquireLease();
    } else {
      this.drop("another daemon has changed the lease in the store");
    }
  }

  /** Reads the lease to check whether a write without a response took effect. */
  async #confirmWrite(value: LeaseValue, write: LeaseWrite): Promise<void> {
    await this.#readLease();
    const storedLease = this.#lease;
    if (
      storedLease?.holder === value.holder && storedLease.term === value.term &&
      storedLease.renewal === value.renewal
    ) {
      this.#recordWrite(value, write);
    }
  }

  #recordStoreResult(hasResponded: boolean): void {
    const isRecovered = hasResponded && !this.#isStoreReachable;
    this.#isStoreReachable = hasResponded;
    if (isRecovered) {
      this.#onStoreRecovered();
    }
  }

  /** Drops the lease after a suspension of the VM, during which the monotonic clock stops and the wall clock goes on. */
  #checkSuspension(): void {
    const offsetMs = getClockOffsetMs();
    if (Math.abs(offsetMs - this.#clockOffsetMs) > SUSPENSION_THRESHOLD_MS) {
      this.#clockOffsetMs = offsetMs;
      this.drop("clock drift shows that the process was suspended");
    }
  }
}

function isLeaseValue(value: unknown): value is LeaseValue {
  const { holder, term, renewal } = (value ?? {}) as Partial<LeaseValue>;
  return typeof holder === "string" && isCounter(renewal) && isTerm(term);
}

function isTerm(value: unknown): value is number {
  return isCounter(value) && value <= MAX_TERM;
}

function isCounter(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function getClockOffsetMs(): number {
  return Date.now() - performance.now();
}
