import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Deterministic random number generator: equal seeds give equal sequences. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets a number from 0 up to, but not including, 1. */
  getFloat(): number {
    return uniformFloat64(this.#generator);
  }

  /**
   * Gets an integer from 0 up to, but not including, a bound.
   *
   * @param bound - Exclusive bound, at least 1.
   */
  getInteger(bound: number): number {
    return Math.floor(this.getFloat() * bound);
  }

  /**
   * Gets the time to the next arrival of a Poisson process, in milliseconds.
   *
   * @param ratePerSecond - Mean number of arrivals per second.
   */
  getArrivalGapMs(ratePerSecond: number): number {
    return -Math.log(1 - this.getFloat()) / ratePerSecond * 1_000;
  }

  /**
   * Chooses an item at random, with a probability proportional to its weight.
   *
   * @param items - Items to choose from.
   */
  chooseWeighted<T extends { readonly weight: number }>(
    items: readonly T[],
  ): T {
    const totalWeight = items.reduce((sum, item) => sum + item.weight, 0);
    let remainingWeight = this.getFloat() * totalWeight;
    for (const item of items) {
      remainingWeight -= item.weight;
      if (remainingWeight < 0) {
        return item;
      }
    }
    return items[items.length - 1];
  }
}
