/** What may be repeated of the requests of a route. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** Part of a route's requests that one service takes. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the other targets of the route. */
  readonly weight: number;
}

/** Rule that sends the requests of a host and path prefix to a service. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that the operator aims at, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Longest pause between two events of a stream that the operator aims at, in milliseconds. */
  readonly pauseObjectiveMs?: number;
  /** Rank of the requests; 0 is the most urgent. */
  readonly priority: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may continue on another backend server after its last event. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
}

/** Model that groups of backend servers serve. */
export interface ServedModel {
  readonly name: string;
  /** Backend servers of one group. */
  readonly groupSize: number;
  /** Part of the service's work that is expected for the model, from 0 to 1. */
  readonly expectedShare: number;
  /** Factor of the engine's step times in a group of this model. */
  readonly stepFactor: number;
  /** Time to load the weights from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time to load staged weights, in milliseconds. */
  readonly warmMs: number;
}

/** Properties of the engines of one service. */
export interface EngineProfile {
  /** Requests that a group runs at once. */
  readonly slots: number;
  /** Tokens that the memory of a group holds. */
  readonly maxTokens: number;
  /** Base time of one token step, in milliseconds. */
  readonly stepMs: number;
  /** Further time of a step for each running request, in milliseconds. */
  readonly stepPerRequestMs: number;
  /** Prompt tokens that a group reads in a second. */
  readonly promptTokensPerSecond: number;
  /** Steps that a batch runs before events are sent. */
  readonly stepsPerBatch: number;
  /** Starts of loads from the weight store in a second, over all servers. */
  readonly loadsPerSecond: number;
  /** Loads that the weight store serves at once at full speed. */
  readonly concurrentLoads: number;
  /** Time from the order to open a group until it takes requests, in milliseconds. */
  readonly openMs: number;
  /** Lag of the load figures that a server reports, in milliseconds. */
  readonly reportLagMs: number;
  readonly models: readonly ServedModel[];
}

/** Service that backend servers provide. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all callers together. */
  readonly maxConnections: number;
  /** Requests in a second that a cold backend server bears; 0 when it has no cold phase. */
  readonly coldRequestsPerSecond: number;
  /** Properties of the engines; undefined for a plain service. */
  readonly engine?: EngineProfile;
}

/** Bounds on what callers send. */
export interface IngressLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time in which the headers of a request have to arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a caller is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Client account with the keys that identify its requests. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank of the account's requests, in place of the route's. */
  readonly priority?: number;
}

/** Whole configuration of routes, services and client accounts at one version. */
export interface RoutingConfig {
  /** Rises with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: IngressLimits;
  /** Client accounts; empty when callers need no key. */
  readonly accounts: readonly RoutedAccount[];
}
