import type { ConfigDocument } from "../../version/config_schema.ts";
import type { DomainPlacement } from "../../version/placement.ts";
import { isOutdated } from "./domain_planner.ts";

/**
 * Counts the free load slots: the number of further groups that may start to load in the whole deployment, according to the given placements.
 *
 * @param document - Configuration with the limit of concurrent loads.
 * @param placements - Known placements of all fabric domains.
 */
export function countLoadSlots(
  document: ConfigDocument,
  placements: readonly DomainPlacement[],
): number {
  const loadingGroups = placements.flatMap((p) => {
    const lostVms = new Set(p.lostVms ?? []);
    // A group with a lost member cannot finish loading before it is repaired, so it occupies no slot.
    const blockedGroupIds = new Set(
      Object.entries(p.groupByVm).filter(([vm]) => lostVms.has(vm))
        .map(([, groupId]) => groupId),
    );
    return Object.values(p.groups)
      .filter((g) => g.phase === "loading" && !blockedGroupIds.has(g.groupId));
  });
  return Math.max(0, document.weightLoadsAtOnce - loadingGroups.length);
}

/** Options of `isReplacementTurn`. */
export interface ReplacementTurnOptions {
  readonly document: ConfigDocument;
  readonly placements: readonly DomainPlacement[];
  readonly fabricDomain: string;
  readonly model: string;
}

/**
 * Gets whether a fabric domain may drain an outdated group of a model in a rolling replacement: no domain with a lower name has an outdated group, and all groups of the model in the other domains are serving. All planners apply this rule, so that at most one group of the model is out of service.
 *
 * @param options - Configuration, placements of all domains, domain and model to check.
 */
export function isReplacementTurn(options: ReplacementTurnOptions): boolean {
  const { document, placements, fabricDomain } = options;
  const model = document.models.find((m) => m.name === options.model);
  return placements.filter((p) => p.fabricDomain !== fabricDomain)
    .every((p) =>
      Object.values(p.groups).filter((g) => g.model === options.model)
        .every((g) =>
          g.phase === "serving" &&
          (p.fabricDomain > fabricDomain || !isOutdated(g, model))
        )
    );
}
