import type { SnapshotStore } from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";

const LEASE_NAME = "planner";
const RENEW_INTERVAL_MS = 1_000;
/** Time after an acknowledged renewal in which the holder acts, in milliseconds. */
const HOLDER_VALIDITY_MS = 2_500;
/** The same while the store does not answer and backend servers refuse orders of an earlier term, in milliseconds: another daemon could only take over through the store, and its first order fences this one. */
const OUTAGE_VALIDITY_MS = 30_000;
/** Time without a renewal after which another daemon takes the lease over, in milliseconds. Longer than the holder acts by the time that an order may be on its way. */
const TAKEOVER_TIMEOUT_MS = 3_500;
const CHECK_INTERVAL_MS = 1_000;
/** Jump of the time of day against the monotonic clock that shows that the process stood still, in milliseconds. */
const SUSPENSION_THRESHOLD_MS = 500;

/** Content of the lease object. */
interface LeaseValue {
  readonly holder: string;
  readonly term: number;
  /** Rises with each renewal, so that a renewal is a change. */
  readonly renewal: number;
}

/** Lease by which one daemon at a time plans the groups. */
export class PlannerLeaseHolder {
  readonly #store: SnapshotStore;
  readonly #kind: string;
  readonly #name: string;
  readonly #logger: Logger;
  readonly #areOrdersFenced: boolean;
  readonly #isHolderReported: () => boolean;
  readonly #getCandidateDelayMs: () => number;
  readonly #onStoreRecovered: () => void;
  #isStoreReachable = true;
  #isReleased = false;
  #lease: LeaseValue | undefined;
  #version = 0;
  #unchangedSinceMs = performance.now();
  #renewedAtMs: number | undefined;
  /** Monotonic time since which no peer tells of a holder. */
  #holderMissingSinceMs: number | undefined;
  #clockOffsetMs = getClockOffsetMs();

  constructor(options: {
    store: SnapshotStore;
    kind: string;
    name: string;
    logger: Logger;
    /** Whether backend servers refuse orders of an earlier term. */
    areOrdersFenced: boolean;
    /** Gets whether a peer that holds the lease is heard, so that the store need not be asked. */
    isHolderReported(): boolean;
    /** Gets the time for which others are left to take a lapsed lease over first, in milliseconds; none when left out. */
    getCandidateDelayMs?(): number;
    /** Called when the store answers again. */
    onStoreRecovered(): void;
  }) {
    this.#store = options.store;
    this.#kind = options.kind;
    this.#name = options.name;
    this.#logger = options.logger;
    this.#areOrdersFenced = options.areOrdersFenced;
    this.#isHolderReported = options.isHolderReported;
    this.#getCandidateDelayMs = options.getCandidateDelayMs ?? (() => 0);
    this.#onStoreRecovered = options.onStoreRecovered;
  }

  /** Gets the term while this daemon holds the lease, and undefined otherwise. */
  getTerm(): number | undefined {
    this.#checkSuspension();
    if (
      this.#isReleased || this.#renewedAtMs === undefined ||
      this.#lease === undefined ||
      performance.now() - this.#renewedAtMs > this.#getValidityMs()
    ) {
      return undefined;
    }
    return this.#lease.term;
  }

  #getValidityMs(): number {
    return this.#areOrdersFenced && !this.#isStoreReachable
      ? OUTAGE_VALIDITY_MS
      : HOLDER_VALIDITY_MS;
  }

  /** Gives the lease up, since a backend server has seen a later term. */
  drop(reason: string): void {
    if (this.#renewedAtMs !== undefined) {
      this.#renewedAtMs = undefined;
      this.#logger.write("info", "lease-dropped", {
        term: this.#lease?.term,
        reason,
      });
    }
  }

  /** Takes the term that a peer plans in; a later one than the own ends the own. */
  observeTerm(term: number, holder: string): void {
    if (this.#renewedAtMs !== undefined && term > (this.#lease?.term ?? 0)) {
      this.drop(`${holder} plans in term ${term}`);
    }
  }

  /** Acquires and renews the lease until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#isReleased) {
      await this.#runStep();
      await delay(
        this.getTerm() === undefined ? CHECK_INTERVAL_MS : RENEW_INTERVAL_MS,
        signal,
      );
    }
  }

  /** Gives the lease back for good, so that another daemon plans at once while this one stops. */
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
    const isOwnLease = this.#lease?.holder === this.#name;
    const isLeaseFree = (this.#version === 0 && this.#isStoreReachable) ||
      this.#lease?.holder === "" ||
      performance.now() - this.#unchangedSinceMs > TAKEOVER_TIMEOUT_MS;
    if (isLeaseFree || isOwnLease) {
      await this.#acquireLease();
    }
  }

  async #readLease(): Promise<void> {
    const result = await this.#store.getObject(this.#kind, LEASE_NAME);
    result.ifRight((object) => {
      const version = object?.version ?? 0;
      if (version !== this.#version) {
        this.#version = version;
        this.#unchangedSinceMs = performance.now();
        this.#lease = object?.value as LeaseValue | undefined;
      }
    });
    this.#recordStoreResult(result.isRight());
    if (result.isLeft()) {
      // Without the store it is unknown whether the holder renews, so the wait begins anew.
      this.#unchangedSinceMs = performance.now();
    }
  }

  async #acquireLease(): Promise<void> {
    const term = (this.#lease?.term ?? 0) + 1;
    if (await this.#writeLease({ holder: this.#name, term, renewal: 0 })) {
      this.#logger.write("info", "lease-acquired", { term });
    }
  }

  async #keepLease(): Promise<void> {
    const lease = this.#lease!;
    await this.#writeLease({ ...lease, renewal: lease.renewal + 1 });
  }

  async #writeLease(value: LeaseValue): Promise<boolean> {
    const startedAtMs = performance.now();
    const written = await this.#store.putObject({
      kind: this.#kind,
      name: LEASE_NAME,
      value,
      expectedVersion: this.#version,
    });
    this.#recordStoreResult(written.outcome !== "unknown");
    if (written.outcome === "written") {
      this.#version = written.version;
      this.#lease = value;
      this.#renewedAtMs = startedAtMs;
      this.#unchangedSinceMs = performance.now();
      return true;
    }
    if (written.outcome === "conflict") {
      this.drop("another daemon changed the lease");
    } else {
      await this.#confirmWrite(value, startedAtMs);
    }
    return false;
  }

  /** Finds out whether a write whose answer was lost took effect. */
  async #confirmWrite(value: LeaseValue, startedAtMs: number): Promise<void> {
    await this.#readLease();
    const stored = this.#lease;
    if (
      stored?.holder === value.holder && stored.term === value.term &&
      stored.renewal === value.renewal
    ) {
      this.#renewedAtMs = startedAtMs;
    }
  }

  #recordStoreResult(isAnswered: boolean): void {
    const isRecovered = isAnswered && !this.#isStoreReachable;
    this.#isStoreReachable = isAnswered;
    if (isRecovered) {
      this.#onStoreRecovered();
    }
  }

  /** The monotonic clock stands still while the VM is suspended, but the time of day goes on. */
  #checkSuspension(): void {
    const offsetMs = getClockOffsetMs();
    if (Math.abs(offsetMs - this.#clockOffsetMs) > SUSPENSION_THRESHOLD_MS) {
      this.#clockOffsetMs = offsetMs;
      this.drop("the clocks show that the process stood still");
    }
  }
}

function getClockOffsetMs(): number {
  return Date.now() - performance.now();
}
