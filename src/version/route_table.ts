import type {
  IngressLimits,
  Route,
  RoutedAccount,
  RoutedService,
  RoutingConfig,
} from "./routing_config.ts";

/** Index of the routes, services and client accounts of one version of the routing configuration. */
export class RouteTable {
  readonly version: number;
  readonly limits: IngressLimits;
  readonly config: RoutingConfig;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #services = new Map<string, RoutedService>();
  readonly #accountByApiKey = new Map<string, RoutedAccount>();

  constructor(config: RoutingConfig) {
    this.version = config.version;
    this.limits = config.limits;
    this.config = config;
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routesByHost.get(host) ?? [];
      routes.push(route);
      this.#routesByHost.set(host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
    for (const account of config.accounts) {
      account.keys.forEach((apiKey) =>
        this.#accountByApiKey.set(apiKey, account)
      );
    }
  }

  /** Gets whether callers need an API key on routes that are not public. */
  get isKeyRequired(): boolean {
    return this.config.isKeyRequired ?? this.config.accounts.length > 0;
  }

  /**
   * Finds the route of a request: among the routes of the host, the one with the longest matching path prefix.
   *
   * @param host - Host of the request, with or without a port.
   * @param path - Path of the request, with or without a query.
   * @example
   * ```ts
   * table.findRoute("app.example", "/bookings/7?full=1")?.name;
   * ```
   */
  findRoute(host: string, path: string): Route | undefined {
    const hostName = host.replace(/:\d+$/, "").toLowerCase();
    const queryIndex = path.indexOf("?");
    const pathWithoutQuery = queryIndex < 0 ? path : path.slice(0, queryIndex);
    return this.#routesByHost.get(hostName)?.find((route) =>
      pathWithoutQuery.startsWith(route.pathPrefix)
    );
  }

  findService(name: string): RoutedService | undefined {
    return this.#services.get(name);
  }

  /** Finds the client account to which an API key belongs. */
  findAccount(apiKey: string): RoutedAccount | undefined {
    return this.#accountByApiKey.get(apiKey);
  }
}

/**
 * Chooses the service for a request by weighted random selection among the targets of its route.
 *
 * @param route - Route of the request.
 * @param draw - Random number in [0, 1).
 * @returns Name of the service, or undefined when no target has a positive weight.
 */
export function chooseTarget(route: Route, draw: number): string | undefined {
  const totalWeight = route.targets.reduce(
    (sum, target) => sum + target.weight,
    0,
  );
  let remainingWeight = draw * totalWeight;
  for (const target of route.targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) {
      return target.service;
    }
  }
  return route.targets.findLast((target) => target.weight > 0)?.service;
}
