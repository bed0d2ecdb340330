import {
  CHOICE_KINDS,
  type ChoiceKind,
  type ChoicePath,
  PathChoices,
} from "./choice_source.ts";
import type { RuleName } from "./group_checker.ts";
import type { PathResult, PathRunner } from "./path_runner.ts";

/** Makes a path that breaks a rule simpler: removes its faults one by one, or several at a time, for as long as it breaks the same rule. */
export class PathShrinker {
  readonly #runner: PathRunner;

  constructor(options: { runner: PathRunner }) {
    this.#runner = options.runner;
  }

  /** Gets the result of the simplest path that was found. */
  async run(result: PathResult): Promise<PathResult> {
    const rule = result.violation!.rule;
    let shortest = result;
    let faultCount = Number.POSITIVE_INFINITY;
    while (countFaults(shortest.path) < faultCount) {
      faultCount = countFaults(shortest.path);
      shortest = await this.#runRound(shortest, rule);
    }
    return shortest;
  }

  /** Tries to remove parts of halving lengths from the path. */
  async #runRound(start: PathResult, rule: RuleName): Promise<PathResult> {
    let shortest = start;
    for (const kind of CHOICE_KINDS) {
      const { length } = shortest.path[kind];
      for (let size = length; size >= 1; size = Math.floor(size / 2)) {
        for (let index = 0; index < length; index += size) {
          shortest = await this.#tryWithout(
            shortest,
            { kind, index, size },
            rule,
          );
        }
      }
    }
    return shortest;
  }

  async #tryWithout(
    result: PathResult,
    part: { kind: ChoiceKind; index: number; size: number },
    rule: RuleName,
  ): Promise<PathResult> {
    const path = removeFaults(result.path, part);
    if (countFaults(path) === countFaults(result.path)) {
      return result;
    }
    const shorter = await this.#runner.run(new PathChoices(path));
    // A shorter path may meet further orders, which have no faults.
    return shorter.violation?.rule === rule ? shorter : result;
  }
}

function removeFaults(
  path: ChoicePath,
  { kind, index, size }: { kind: ChoiceKind; index: number; size: number },
): ChoicePath {
  const choices = path[kind].map((choice, i) =>
    i >= index && i < index + size ? 0 : choice
  );
  return { ...path, [kind]: choices };
}

/** Counts the choices of a path that are not the case without a fault. */
export function countFaults(path: ChoicePath): number {
  return CHOICE_KINDS.reduce(
    (sum, kind) => sum + path[kind].filter((choice) => choice !== 0).length,
    0,
  );
}
