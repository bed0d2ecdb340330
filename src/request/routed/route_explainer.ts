import type { RoutingContext } from "../../process/routing_context.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { RouteTable } from "../../version/route_table.ts";
import type {
  EngineProfile,
  Route,
  RoutedService,
} from "../../version/routing_config.ts";
import type {
  CandidateExplanation,
  RouteExplanation,
  RouteQuery,
  TargetExplanation,
} from "./route_explanation.ts";

/** Number of evenly spaced draws from which the shares of the destinations are estimated. */
const DRAW_COUNT = 100;

/** Components of a daemon from which an explanation is made. */
export type ExplainedContext = Pick<
  RoutingContext,
  | "settings"
  | "directory"
  | "groups"
  | "admission"
  | "serverLoads"
  | "coldLimits"
  | "serverLimits"
  | "serverStatements"
  | "plannedStop"
  | "getRoutes"
  | "getExcludedZones"
>;

/** Explains where a request would go now and why, from the state of one daemon and without sending it. */
export class RouteExplainer {
  readonly #context: ExplainedContext;

  constructor(context: ExplainedContext) {
    this.#context = context;
  }

  /**
   * Explains the destination of a request.
   *
   * @param query - Host, path, account and model of the request.
   * @example
   * ```ts
   * explainer.describeRoute({ host: "app.example", path: "/note/", model: "m" });
   * ```
   */
  describeRoute(query: RouteQuery): RouteExplanation {
    const { settings, plannedStop, getRoutes } = this.#context;
    const routes = getRoutes();
    const route = routes?.findRoute(query.host, query.path);
    const account = routes?.config.accounts.find(({ name }) =>
      name === query.account
    );
    const isAccountMissing = routes?.isKeyRequired === true &&
      route?.isPublic === false && account === undefined;
    return {
      daemon: settings.name,
      zone: settings.zone,
      configVersion: routes?.version,
      refusal: findRefusal({
        isLeaving: plannedStop.isLeaving,
        routes,
        route,
        isAccountMissing,
      }),
      route: route === undefined ? undefined : {
        name: route.name,
        kind: route.kind,
        timeoutMs: route.timeoutMs,
        latencyObjectiveMs: route.latencyObjectiveMs,
        maxAttempts: route.maxAttempts,
      },
      priority: account?.priority ?? route?.priority,
      targets: routes === undefined || route === undefined
        ? []
        : this.#describeTargets(routes, route, query),
    };
  }

  #describeTargets(
    routes: RouteTable,
    route: Route,
    query: RouteQuery,
  ): TargetExplanation[] {
    const totalWeight = route.targets.reduce(
      (sum, { weight }) => sum + weight,
      0,
    );
    return route.targets.map(({ service: name, weight }) => {
      const share = totalWeight === 0 ? 0 : weight / totalWeight;
      const service = routes.findService(name);
      if (service === undefined) {
        return createUnknownTarget(name, share);
      }
      return service.engine === undefined || query.model === undefined
        ? this.#describePlainService(service, share)
        : this.#describeModel(
          { service, engine: service.engine, model: query.model },
          share,
        );
    });
  }

  #describeModel(
    { service, engine, model }: {
      service: RoutedService;
      engine: EngineProfile;
      model: string;
    },
    share: number,
  ): TargetExplanation {
    const { admission } = this.#context;
    const candidates = admission.describeCandidates({
      service: service.name,
      model,
      slots: engine.slots,
    }, DRAW_COUNT);
    const servingCandidates = candidates.map((candidate) => ({
      id: candidate.group.key,
      zone: candidate.group.head.zone,
      load: candidate.load,
      slots: candidate.slots,
      penalty: candidate.penalty,
      speed: candidate.speed ?? 1,
      share: candidate.share,
      obstacles: [
        ...(candidate.load < candidate.slots ? [] : ["no free slot"]),
        ...this.#listSendObstacles(candidate.group.head),
      ],
    }));
    const isAdmittedNow = candidates.some((candidate) => candidate.share > 0);
    return {
      service: service.name,
      share,
      waitingRequests: admission.waitingCount,
      isAdmittedNow,
      retryAfterMs: isAdmittedNow
        ? undefined
        : admission.getRetryAfterMs({ service: service.name, model }),
      candidates: [
        ...servingCandidates,
        ...this.#listOtherGroups(service, model),
      ],
    };
  }

  /** Lists the groups of a model that take no requests, with the reason. */
  #listOtherGroups(
    { name }: RoutedService,
    model: string,
  ): CandidateExplanation[] {
    const { directory, groups, getExcludedZones } = this.#context;
    const excludedZones = getExcludedZones();
    return directory.listServers(name).flatMap((head) => {
      const { membership, loadedModels, slots, zone } = head;
      const key = `${membership?.groupName}/${membership?.generation}`;
      if (
        membership?.rank !== 0 || loadedModels[0] !== model ||
        groups.isServing(key)
      ) {
        return [];
      }
      const obstacles = [
        ...(membership.state === "open"
          ? []
          : [`its head is ${membership.state}`]),
        ...(groups.isLost(key) ? ["the loss of a member is recorded"] : []),
        ...(groups.listSuspectedKeys().includes(key)
          ? ["a member is silent"]
          : []),
        ...(excludedZones.has(zone) ? ["its zone is excluded"] : []),
      ];
      return [{
        id: key,
        zone,
        load: 0,
        slots,
        penalty: 0,
        speed: 1,
        share: 0,
        obstacles: obstacles.length > 0
          ? obstacles
          : ["a member is missing, draining or in an excluded zone"],
      }];
    });
  }

  #describePlainService(
    { name }: RoutedService,
    share: number,
  ): TargetExplanation {
    const { directory, serverLoads, settings } = this.#context;
    const servers = directory.listServers(name);
    const obstacles = new Map(
      servers.map((server) => [server.id, this.#listServerObstacles(server)]),
    );
    const usableServers = servers.filter(({ id }) =>
      obstacles.get(id)?.length === 0
    );
    const draws = new Map<string, number>();
    for (let draw = 0; draw < DRAW_COUNT; draw++) {
      const id = serverLoads.chooseServer(usableServers, settings.zone)?.id;
      if (id !== undefined) {
        draws.set(id, (draws.get(id) ?? 0) + 1);
      }
    }
    return {
      service: name,
      share,
      waitingRequests: 0,
      isAdmittedNow: usableServers.length > 0,
      retryAfterMs: undefined,
      candidates: servers.map((server) => ({
        id: server.id,
        zone: server.zone,
        load: serverLoads.getLoad(server.id),
        slots: server.slots,
        penalty: 0,
        speed: 1,
        share: (draws.get(server.id) ?? 0) / DRAW_COUNT,
        obstacles: obstacles.get(server.id) ?? [],
      })),
    };
  }

  #listServerObstacles(server: BackendServer): string[] {
    const isExcluded = this.#context.getExcludedZones().has(server.zone);
    return [
      ...(server.isDraining ? ["it drains"] : []),
      ...(isExcluded ? ["its zone is excluded"] : []),
      ...this.#listSendObstacles(server),
    ];
  }

  /** Lists the limits that keep this daemon from sending a request to a server now. */
  #listSendObstacles(server: BackendServer): string[] {
    const { coldLimits, serverLimits, serverStatements } = this.#context;
    const pauseMs = serverStatements.getWaitMs(server);
    const limitMs = serverLimits.getWaitMs(server);
    return [
      ...(coldLimits.isBelowLimit(server)
        ? []
        : ["it is cold, and this daemon has used its part of the limit"]),
      ...(limitMs > 0
        ? [`it limits its request rate for another ${Math.ceil(limitMs)} ms`]
        : []),
      ...(pauseMs === Number.POSITIVE_INFINITY
        ? ["it states that it leaves"]
        : []),
      ...(pauseMs > 0 && Number.isFinite(pauseMs)
        ? [`it wants no request for another ${Math.ceil(pauseMs)} ms`]
        : []),
    ];
  }
}

function findRefusal(
  { isLeaving, routes, route, isAccountMissing }: {
    isLeaving: boolean;
    routes: RouteTable | undefined;
    route: Route | undefined;
    isAccountMissing: boolean;
  },
): string | undefined {
  if (isLeaving) {
    return "The daemon is stopping";
  }
  if (routes === undefined) {
    return "The daemon has not received its configuration yet";
  }
  if (route === undefined) {
    return "No route matches the host and path";
  }
  return isAccountMissing
    ? "The route needs an API key of a client account"
    : undefined;
}

function createUnknownTarget(
  service: string,
  share: number,
): TargetExplanation {
  return {
    service,
    share,
    waitingRequests: 0,
    isAdmittedNow: false,
    retryAfterMs: undefined,
    candidates: [],
  };
}
