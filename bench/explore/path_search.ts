import { createHash } from "node:crypto";
import {
  type ChoiceKind,
  type ChoicePath,
  PathChoices,
  RandomChoices,
} from "./choice_source.ts";
import type { PathResult, PathRunner } from "./path_runner.ts";

/** Path that breaks a rule. */
export interface Find {
  /** Seed of the walk; undefined in an exhaustive search. */
  readonly seed: number | undefined;
  readonly result: PathResult;
}

/** Figures of a search. */
export interface SearchReport {
  readonly paths: number;
  readonly steps: number;
  /** Number of visible states that differ. */
  readonly states: number;
  /** Number of paths that were left out, since they reach the same states as another one. */
  readonly merged: number;
  readonly finds: readonly Find[];
  /** Longest time from the last fault until all groups were open, in milliseconds. */
  readonly maxRecoveryMs: number;
}

/** Options that all searches share. */
export interface SearchOptions {
  /** Rule to which the finds are limited; all rules by default. */
  readonly rule?: string;
  /** Called after each path. */
  onPath?(report: SearchReport): void;
  /** Gets whether the search ends before the next path. */
  mustStop?(report: SearchReport): boolean;
}

/** Path with the number of the point after which it may get further faults. */
interface SearchNode {
  readonly path: ChoicePath;
  readonly firstPoint: number;
  readonly faults: number;
}

/** Runs many paths and collects those that break a rule. */
export class PathSearch {
  readonly #runner: PathRunner;
  readonly #options: SearchOptions;
  readonly #states = new Set<string>();
  readonly #finds: Find[] = [];
  #paths = 0;
  #steps = 0;
  #merged = 0;
  #maxRecoveryMs = 0;

  constructor(options: SearchOptions & { runner: PathRunner }) {
    this.#runner = options.runner;
    this.#options = options;
  }

  /** Gets the figures so far. */
  getReport(): SearchReport {
    return {
      paths: this.#paths,
      steps: this.#steps,
      states: this.#states.size,
      merged: this.#merged,
      finds: this.#finds,
      maxRecoveryMs: this.#maxRecoveryMs,
    };
  }

  /** Runs one path. */
  async runPath(path: ChoicePath): Promise<void> {
    this.#record(await this.#runner.run(new PathChoices(path)), undefined);
  }

  /** Runs random walks with consecutive seeds. */
  async runWalks(seed: number, walks: number): Promise<void> {
    for (let i = 0; i < walks && !this.#isStopped(); i++) {
      const result = await this.#runner.run(new RandomChoices(seed + i));
      this.#record(result, seed + i);
    }
  }

  /**
   * Runs all paths with at most a number of faults.
   *
   * Paths that have the same table of events, for instance since an event has had no effect, are continued once only.
   *
   * @param maxFaults - Number of choices that are not the case without a fault.
   * @param only - Kind of the choices that may have faults; both by default.
   */
  async runAll(maxFaults: number, only?: ChoiceKind): Promise<void> {
    const nodes: SearchNode[] = [{
      path: { order: [], event: [] },
      firstPoint: 0,
      faults: 0,
    }];
    const knownPaths = new Set<string>();
    for (
      let node = nodes.pop();
      node !== undefined && !this.#isStopped();
      node = nodes.pop()
    ) {
      const result = await this.#runner.run(new PathChoices(node.path));
      this.#record(result, undefined);
      const key = createHash("sha1").update(result.table).digest("base64");
      if (knownPaths.has(key)) {
        this.#merged++;
      } else if (result.violation === undefined && node.faults < maxFaults) {
        nodes.push(...listExtensions(node, result, only));
      }
      knownPaths.add(key);
    }
  }

  #isStopped(): boolean {
    return this.#options.mustStop?.(this.getReport()) ?? false;
  }

  #record(result: PathResult, seed: number | undefined): void {
    this.#paths++;
    this.#steps += result.stateKeys.length;
    result.stateKeys.forEach((key) => this.#states.add(key));
    this.#maxRecoveryMs = Math.max(
      this.#maxRecoveryMs,
      result.recoveryMs ?? 0,
    );
    const { rule } = this.#options;
    if (
      result.violation !== undefined &&
      (rule === undefined || rule === result.violation.rule)
    ) {
      this.#finds.push({ seed, result });
    }
    this.#options.onPath?.(this.getReport());
  }
}

/** Lists the paths with one more fault at a later point than the last one. */
function listExtensions(
  node: SearchNode,
  result: PathResult,
  only: ChoiceKind | undefined,
): SearchNode[] {
  const counts: Record<ChoiceKind, number> = { order: 0, event: 0 };
  return result.points.flatMap(({ kind, optionCount }, point) => {
    const index = counts[kind]++;
    if (point < node.firstPoint || (only !== undefined && kind !== only)) {
      return [];
    }
    return Array.from({ length: optionCount - 1 }, (_, option) => {
      const choices = [...result.path[kind].slice(0, index), option + 1];
      return {
        path: { ...limitPath(result, point), [kind]: choices },
        firstPoint: point + 1,
        faults: node.faults + 1,
      };
    });
  });
}

/** Gets the choices of a path before a point. */
function limitPath({ path, points }: PathResult, point: number): ChoicePath {
  const countBefore = (kind: ChoiceKind) =>
    points.slice(0, point).filter((other) => other.kind === kind).length;
  return {
    order: path.order.slice(0, countBefore("order")),
    event: path.event.slice(0, countBefore("event")),
  };
}
