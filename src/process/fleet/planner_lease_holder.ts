import type { SnapshotStore } from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";

const LEASE_NAME = "planner";
const RENEW_INTERVAL_MS = 1_000;
/** Time after an acknowledged renewal in which the holder acts, in milliseconds. */
const HOLD_MS = 2_500;
/** The same while the store does not answer and backend servers refuse orders of an earlier term, in milliseconds: another daemon could only take over through the store, and its first order fences this one. */
const OUTAGE_HOLD_MS = 30_000;
/** Time without a renewal after which another daemon takes the lease over, in milliseconds. Longer than the holder acts by the time that an order may be on its way. */
const TAKE_OVER_MS = 3_500;
const CHECK_INTERVAL_MS = 1_000;
/** Jump of the time of day against the monotonic clock that shows that the process stood still, in milliseconds. */
const SUSPENSION_MS = 500;

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
  readonly #isHolderHeard: () => boolean;
  readonly #getCandidateDelayMs: () => number;
  readonly #onRegained: () => void;
  #isAnswering = true;
  #isReleased = false;
  #value: LeaseValue | undefined;
  #version = 0;
  #changedAtMs = performance.now();
  #renewedAtMs: number | undefined;
  /** Monotonic time since which no peer tells of a holder. */
  #unheardSinceMs: number | undefined;
  #clockOffsetMs = getClockOffsetMs();

  constructor(options: {
    store: SnapshotStore;
    kind: string;
    name: string;
    logger: Logger;
    /** Whether backend servers refuse orders of an earlier term. */
    areOrdersFenced: boolean;
    /** Gets whether a peer that holds the lease is heard, so that the store need not be asked. */
    isHolderHeard(): boolean;
    /** Gets the time for which others are left to take a lapsed lease over first, in milliseconds; none when left out. */
    getCandidateDelayMs?(): number;
    /** Called when the store answers again. */
    onRegained(): void;
  }) {
    this.#store = options.store;
    this.#kind = options.kind;
    this.#name = options.name;
    this.#logger = options.logger;
    this.#areOrdersFenced = options.areOrdersFenced;
    this.#isHolderHeard = options.isHolderHeard;
    this.#getCandidateDelayMs = options.getCandidateDelayMs ?? (() => 0);
    this.#onRegained = options.onRegained;
  }

  /** Gets the term while this daemon holds the lease, and undefined otherwise. */
  getTerm(): number | undefined {
    this.#checkSuspension();
    if (
      this.#isReleased || this.#renewedAtMs === undefined ||
      this.#value === undefined ||
      performance.now() - this.#renewedAtMs > this.#getHoldMs()
    ) {
      return undefined;
    }
    return this.#value.term;
  }

  #getHoldMs(): number {
    return this.#areOrdersFenced && !this.#isAnswering
      ? OUTAGE_HOLD_MS
      : HOLD_MS;
  }

  /** Gives the lease up, since a backend server has seen a later term. */
  drop(reason: string): void {
    if (this.#renewedAtMs !== undefined) {
      this.#renewedAtMs = undefined;
      this.#logger.write("info", "lease-dropped", {
        term: this.#value?.term,
        reason,
      });
    }
  }

  /** Takes the term that a peer plans in; a later one than the own ends the own. */
  observeTerm(term: number, holder: string): void {
    if (this.#renewedAtMs !== undefined && term > (this.#value?.term ?? 0)) {
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
      const isWritten = await this.#write({ holder: "", term, renewal: 0 });
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
    if (this.#isHolderHeard()) {
      this.#changedAtMs = performance.now();
      this.#unheardSinceMs = undefined;
      return;
    }
    this.#unheardSinceMs ??= performance.now();
    const unheardMs = performance.now() - this.#unheardSinceMs;
    if (unheardMs < this.#getCandidateDelayMs()) {
      return;
    }
    await this.#read();
    const isOwn = this.#value?.holder === this.#name;
    const isFree = (this.#version === 0 && this.#isAnswering) ||
      this.#value?.holder === "" ||
      performance.now() - this.#changedAtMs > TAKE_OVER_MS;
    if (isFree || isOwn) {
      await this.#take();
    }
  }

  async #read(): Promise<void> {
    const result = await this.#store.getObject(this.#kind, LEASE_NAME);
    result.ifRight((object) => {
      const version = object?.version ?? 0;
      if (version !== this.#version) {
        this.#version = version;
        this.#changedAtMs = performance.now();
        this.#value = object?.value as LeaseValue | undefined;
      }
    });
    this.#recordAnswer(result.isRight());
    if (result.isLeft()) {
      // Without the store it is unknown whether the holder renews, so the wait begins anew.
      this.#changedAtMs = performance.now();
    }
  }

  async #take(): Promise<void> {
    const term = (this.#value?.term ?? 0) + 1;
    if (await this.#write({ holder: this.#name, term, renewal: 0 })) {
      this.#logger.write("info", "lease-acquired", { term });
    }
  }

  async #keepLease(): Promise<void> {
    const value = this.#value!;
    await this.#write({ ...value, renewal: value.renewal + 1 });
  }

  async #write(value: LeaseValue): Promise<boolean> {
    const startedAtMs = performance.now();
    const written = await this.#store.putObject({
      kind: this.#kind,
      name: LEASE_NAME,
      value,
      expectedVersion: this.#version,
    });
    this.#recordAnswer(written.outcome !== "unknown");
    if (written.outcome === "written") {
      this.#version = written.version;
      this.#value = value;
      this.#renewedAtMs = startedAtMs;
      this.#changedAtMs = performance.now();
      return true;
    }
    if (written.outcome === "conflict") {
      this.drop("another daemon changed the lease");
    } else {
      await this.#readBack(value, startedAtMs);
    }
    return false;
  }

  /** Finds out whether a write whose answer was lost took effect. */
  async #readBack(value: LeaseValue, startedAtMs: number): Promise<void> {
    await this.#read();
    const found = this.#value;
    if (
      found?.holder === value.holder && found.term === value.term &&
      found.renewal === value.renewal
    ) {
      this.#renewedAtMs = startedAtMs;
    }
  }

  #recordAnswer(isAnswered: boolean): void {
    const isRegained = isAnswered && !this.#isAnswering;
    this.#isAnswering = isAnswered;
    if (isRegained) {
      this.#onRegained();
    }
  }

  /** The monotonic clock stands still while the VM is suspended, but the time of day goes on. */
  #checkSuspension(): void {
    const offsetMs = getClockOffsetMs();
    if (Math.abs(offsetMs - this.#clockOffsetMs) > SUSPENSION_MS) {
      this.#clockOffsetMs = offsetMs;
      this.drop("the clocks show that the process stood still");
    }
  }
}

function getClockOffsetMs(): number {
  return Date.now() - performance.now();
}
