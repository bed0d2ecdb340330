import { SeededRandom } from "../load/seeded_random.ts";

/**
 * Kind of a choice.
 *
 * - `order`: what happens to an order that a planner sends.
 * - `event`: what happens in a step of the path.
 */
export type ChoiceKind = "order" | "event";

export const CHOICE_KINDS: readonly ChoiceKind[] = ["event", "order"];

/** Choices of a path, by kind and in order. The value 0 and each missing one stand for the case without a fault. */
export type ChoicePath = Readonly<Record<ChoiceKind, readonly number[]>>;

/** Point of a path at which something was chosen. */
export interface ChoicePoint {
  readonly kind: ChoiceKind;
  readonly optionCount: number;
}

/** Decides what happens next. */
export interface ChoiceSource {
  /** Chooses one of a number of options; 0 is the case without a fault. */
  choose(kind: ChoiceKind, optionCount: number): number;
}

/** Takes the choices of a path, and records all points at which something was chosen. */
export class RecordedChoices implements ChoiceSource {
  readonly #source: ChoiceSource;
  readonly #taken: Record<ChoiceKind, number[]> = { order: [], event: [] };
  readonly points: ChoicePoint[] = [];

  constructor(source: ChoiceSource) {
    this.#source = source;
  }

  /** Gets the choices taken so far. */
  get path(): ChoicePath {
    return this.#taken;
  }

  choose(kind: ChoiceKind, optionCount: number): number {
    const choice = this.#source.choose(kind, optionCount);
    this.#taken[kind].push(choice);
    this.points.push({ kind, optionCount });
    return choice;
  }
}

/** Repeats the choices of a path. */
export class PathChoices implements ChoiceSource {
  readonly #path: ChoicePath;
  readonly #counts: Record<ChoiceKind, number> = { order: 0, event: 0 };

  constructor(path: ChoicePath) {
    this.#path = path;
  }

  choose(kind: ChoiceKind, optionCount: number): number {
    const choice = this.#path[kind][this.#counts[kind]++] ?? 0;
    return Math.min(choice, optionCount - 1);
  }
}

/** Probabilities of a fault from which each walk draws one for its orders and one for its events. Walks with many faults of one kind and few of the other reach states that walks with one rate for all do not. */
const FAULT_RATES: Readonly<Record<ChoiceKind, readonly number[]>> = {
  order: [0.02, 0.1, 0.25, 0.5],
  event: [0.02, 0.1, 0.3],
};
/** Fraction of the options that a walk uses. */
const USED_OPTIONS = 0.5;

/** Draws the choices of a random walk. */
export class RandomChoices implements ChoiceSource {
  readonly #random: SeededRandom;
  readonly #rates: Readonly<Record<ChoiceKind, number>>;
  readonly #usedOptions: Record<ChoiceKind, number[] | undefined> = {
    order: undefined,
    event: undefined,
  };

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#rates = {
      order: this.#chooseFrom(FAULT_RATES.order),
      event: this.#chooseFrom(FAULT_RATES.event),
    };
  }

  choose(kind: ChoiceKind, optionCount: number): number {
    this.#usedOptions[kind] ??= this.#chooseUsedOptions(optionCount);
    return this.#random.getFloat() < this.#rates[kind]
      ? this.#chooseFrom(this.#usedOptions[kind])
      : 0;
  }

  #chooseUsedOptions(optionCount: number): number[] {
    const options = Array.from({ length: optionCount - 1 }, (_, i) => i + 1);
    const used = options.filter(() => this.#random.getFloat() < USED_OPTIONS);
    return used.length > 0 ? used : options;
  }

  #chooseFrom<T>(values: readonly T[]): T {
    return values[this.#random.getInteger(values.length)];
  }
}
