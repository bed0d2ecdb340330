import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  EngineProfile,
  ServedModel,
} from "../../version/routing_config.ts";

/** Servers of a fabric domain. */
interface DomainServers {
  readonly listed: BackendServer[];
  readonly removed: BackendServer[];
}

/** Model of a domain that had enough servers for a group of it. */
interface RetainedModel {
  readonly model: ServedModel;
  /** Monotonic time since which the domain has had too few servers, in milliseconds; undefined while it has enough, or none at all. */
  shortSinceMs: number | undefined;
  /** Whether the time for which the model is kept is over. */
  isReleased: boolean;
}

/**
 * Keeps the model of a fabric domain while too few of its servers are registered for a group.
 *
 * A domain that loses power or its connections for some seconds loses its entries one after the other. If it got another model meanwhile, the remaining and the returning servers would load that one, which takes many seconds and replaces the staged weights of the first. The model is kept for as long as such a load takes, after which another model could serve.
 *
 * @example
 * ```ts
 * const retainedModels = new RetainedModels({ logger });
 * retainedModels.update(engine, { servers, removedServers, assignments });
 * ```
 */
export class RetainedModels {
  readonly #logger: Logger;
  readonly #models = new Map<string, RetainedModel>();

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /**
   * Records which domains have enough servers for a group of their model.
   *
   * @param engine - Engine of the service.
   * @param fleet - Servers in the list, servers that were removed from it, and the model assigned to each domain. A planner that has taken over has no assignments, and goes by the weights of both kinds of servers.
   * @returns Names of the models that domains with too few servers keep, by domain.
   */
  update(
    engine: EngineProfile,
    { servers, removedServers, assignments }: {
      servers: readonly BackendServer[];
      removedServers: readonly BackendServer[];
      assignments: ReadonlyMap<string, string>;
    },
  ): ReadonlyMap<string, string> {
    const domains = collectDomains(servers, removedServers);
    for (const [domain, retained] of this.#models) {
      if (!domains.has(domain)) {
        retained.shortSinceMs = undefined;
      }
    }
    const kept = new Map<string, string>();
    for (const [domain, domainServers] of domains) {
      const retained = this.#updateDomain(engine, {
        domain,
        domainServers,
        assigned: assignments.get(domain),
      });
      if (retained !== undefined) {
        kept.set(domain, retained.name);
      }
    }
    return kept;
  }

  #updateDomain(
    engine: EngineProfile,
    { domain, domainServers: { listed, removed }, assigned }: {
      domain: string;
      domainServers: DomainServers;
      assigned: string | undefined;
    },
  ): ServedModel | undefined {
    const name = assigned ?? findStagedModel([...listed, ...removed]);
    const model = engine.models.find((served) => served.name === name);
    if (model === undefined) {
      return undefined;
    }
    const previous = this.#models.get(domain);
    const known = previous?.model.name === model.name ? previous : undefined;
    if (listed.length >= model.groupSize || listed.length === 0) {
      this.#models.set(domain, {
        model,
        shortSinceMs: undefined,
        isReleased: false,
      });
      return undefined;
    }
    const hasHadEnough = known !== undefined ||
      listed.length + removed.length >= model.groupSize;
    if (!hasHadEnough) {
      return undefined;
    }
    const retained = known?.shortSinceMs === undefined
      ? { model, shortSinceMs: performance.now(), isReleased: false }
      : known;
    if (retained !== known) {
      this.#models.set(domain, retained);
      this.#writeEvent("model-retained", domain, {
        model,
        servers: listed.length,
      });
    }
    const shortMs = performance.now() - retained.shortSinceMs!;
    if (shortMs < getRetentionMs(engine)) {
      return model;
    }
    if (!retained.isReleased) {
      retained.isReleased = true;
      this.#writeEvent("model-released", domain, {
        model,
        servers: listed.length,
      });
    }
    return undefined;
  }

  #writeEvent(
    event: string,
    domain: string,
    { model, servers }: { model: ServedModel; servers: number },
  ): void {
    this.#logger.write("info", event, {
      domain,
      model: model.name,
      servers,
      groupSize: model.groupSize,
    });
  }
}

/** Gets the time that another model needs until it could serve in a domain, in milliseconds. */
function getRetentionMs({ models }: EngineProfile): number {
  return Math.max(...models.map(({ loadMs }) => loadMs));
}

/** Finds the model that most servers have staged. */
function findStagedModel(
  servers: readonly BackendServer[],
): string | undefined {
  const counts = new Map<string, number>();
  for (const { stagedModels: [model] } of servers) {
    if (model !== undefined) {
      counts.set(model, (counts.get(model) ?? 0) + 1);
    }
  }
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
}

function collectDomains(
  servers: readonly BackendServer[],
  removedServers: readonly BackendServer[],
): Map<string, DomainServers> {
  const domains = new Map<string, DomainServers>();
  const getDomain = (domain: string) => {
    const known = domains.get(domain) ?? { listed: [], removed: [] };
    domains.set(domain, known);
    return known;
  };
  for (const server of servers) {
    if (server.domain !== undefined) {
      getDomain(server.domain).listed.push(server);
    }
  }
  for (const server of removedServers) {
    if (server.domain !== undefined) {
      getDomain(server.domain).removed.push(server);
    }
  }
  return domains;
}
