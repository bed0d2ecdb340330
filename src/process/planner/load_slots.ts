import type { ConfigDocument } from "../../version/config_schema.ts";
import type { DomainPlacement } from "../../version/placement.ts";
import { isOutdated } from "./domain_planner.ts";

/**
 * Counts the groups whose load may still start in the whole deployment, as far as the known placements tell.
 *
 * @param document - Configuration with the bound.
 * @param placements - Placements of all fabric domains.
 */
export function countLoadSlots(
  document: ConfigDocument,
  placements: readonly DomainPlacement[],
): number {
  const loadingGroups = placements.flatMap((p) => {
    const lostVms = new Set(p.lostVms ?? []);
    // A group with a lost member loads nothing more and waits for its repair.
    const blockedGroupIds = new Set(
      Object.entries(p.groupByVm).filter(([vm]) => lostVms.has(vm))
        .map(([, groupId]) => groupId),
    );
    return Object.values(p.groups)
      .filter((g) => g.phase === "loading" && !blockedGroupIds.has(g.groupId));
  });
  return Math.max(0, document.weightLoadsAtOnce - loadingGroups.length);
}

/** Options of the turn of a rolling replacement. */
export interface ReplacementTurnOptions {
  readonly document: ConfigDocument;
  readonly placements: readonly DomainPlacement[];
  readonly fabricDomain: string;
  readonly model: string;
}

/**
 * Gets whether a fabric domain may drain an outdated group: it is the first domain by name that has one, and all groups of the model in other domains serve. All planners compute the same turn, so that at most one group is missing.
 *
 * @param options - Configuration, placements, domain and model.
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
