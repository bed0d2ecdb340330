import type { PeerRelation } from "../../connection/peer_notice.ts";
import { chooseClock, type ClockEstimate } from "./clock_estimate.ts";

/** Number of clocks that the estimate of a hub counts as. A hub has compared more clocks than its members can. */
const HUB_CLOCK_COUNT = 1_000;

/** Clock of the usage windows, on which daemons agree although the wall clocks of some of them jump. */
export class SharedClock {
  /** Unix time at the start of this daemon's monotonic clock by the clocks of the partners, in milliseconds. */
  readonly #partnerBasesMs = new Map<string, number>();
  /** The same by the estimate of the hub; undefined without a hub. */
  #hubBase: { readonly hub: string; readonly baseMs: number } | undefined;
  #estimate: ClockEstimate = chooseClock([getOwnBaseMs()], undefined);

  /** Gets the estimated Unix time in milliseconds. */
  getNowMs(): number {
    return performance.now() + this.#estimate.baseMs;
  }

  /** Records the time that a partner's clock showed now. For a hub it is the time that the hub has estimated. */
  recordTime(partner: string, relation: PeerRelation, atMs: number): void {
    const baseMs = atMs - performance.now();
    if (relation === "hub") {
      this.#hubBase = { hub: partner, baseMs };
    } else {
      this.#partnerBasesMs.set(partner, baseMs);
    }
    this.refresh();
  }

  /** Forgets the clock of a partner whose link has closed. */
  removePartner(name: string): void {
    this.#partnerBasesMs.delete(name);
    if (this.#hubBase?.hub === name) {
      this.#hubBase = undefined;
    }
  }

  /** Chooses the time again, since this daemon's own wall clock may have changed. */
  refresh(): void {
    this.#estimate = this.#hubBase === undefined
      ? chooseClock(
        [getOwnBaseMs(), ...this.#partnerBasesMs.values()],
        this.#estimate,
      )
      : { baseMs: this.#hubBase.baseMs, clockCount: HUB_CLOCK_COUNT };
  }
}

function getOwnBaseMs(): number {
  return Date.now() - performance.now();
}
