/** Kind of the requests of a route, which decides whether a request may be sent to further backend servers after a failure. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** Service that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly service: string;
  /** Weight of the service relative to the other targets of the route. */
  readonly weight: number;
}

/** Rule that sends the requests with a host and path prefix to one of the target services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Prefix of the request paths; it begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum duration of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: target time to the response, or to the first event of a stream, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Target for the longest pause between two events of a stream, in milliseconds. */
  readonly pauseObjectiveMs?: number;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may be resumed on another backend server after the last event that was received. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
}

/** Model that is served by groups of backend servers. */
export interface ServedModel {
  readonly name: string;
  /** Number of backend servers of one group. */
  readonly groupSize: number;
  /** Expected fraction of the service's load that is for this model, from 0 to 1. */
  readonly expectedShare: number;
  /** Factor by which the engine's step times are multiplied in a group of this model. */
  readonly stepFactor: number;
  /** Time to load the weights from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time to load weights that are already staged on the servers, in milliseconds. */
  readonly warmMs: number;
}

/** Properties of the engines of one service. */
export interface EngineProfile {
  /** Maximum number of requests that a group runs concurrently. */
  readonly slots: number;
  /** KV cache capacity of a group, in tokens. */
  readonly maxTokens: number;
  /** Base duration of one decoding step, in milliseconds. */
  readonly stepMs: number;
  /** Additional duration of a step for each running request, in milliseconds. */
  readonly stepPerRequestMs: number;
  /** Prefill rate of a group, in prompt tokens per second. */
  readonly promptTokensPerSecond: number;
  /** Number of steps that a batch runs before events are sent. */
  readonly stepsPerBatch: number;
  /** Maximum rate at which loads from the weight store are started, per second over all servers. */
  readonly loadsPerSecond: number;
  /** Number of concurrent loads that the weight store serves at full speed. */
  readonly concurrentLoads: number;
  /** Time from the order that opens a group until the group accepts requests, in milliseconds. */
  readonly openMs: number;
  /** Delay of the load figures that a server reports, in milliseconds. */
  readonly reportLagMs: number;
  readonly models: readonly ServedModel[];
}

/** Service that backend servers provide. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one backend server accepts in total. */
  readonly maxConnections: number;
  /** Requests per second that a backend server sustains just after its start; 0 when it needs no warm-up. */
  readonly coldRequestsPerSecond: number;
  /** Properties of the engines; undefined for a plain service. */
  readonly engine?: EngineProfile;
  /** Limits of the number of servers that may be ordered; undefined when the number is fixed. */
  readonly scaling?: ScalingLimits;
}

/** Limits of the number of backend servers of a service in each availability zone. */
export interface ScalingLimits {
  readonly minServers: number;
  readonly maxServers: number;
  /** Time from an order until a new server accepts requests, in milliseconds. */
  readonly bootMs: number;
}

/** Limits on requests and connections of callers. */
export interface IngressLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the headers of a request have to be received, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle caller connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Client account with the API keys that identify its requests. */
export interface RoutedAccount {
  readonly name: string;
  /** API keys of the account. */
  readonly keys: readonly string[];
  /** Priority of the account's requests, which overrides the priority of the route. */
  readonly priority?: number;
}

/** One version of the complete configuration of routes, services and client accounts. */
export interface RoutingConfig {
  /** Version, which increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: IngressLimits;
  readonly accounts: readonly RoutedAccount[];
  /** Whether callers need the API key of an account on routes that are not public. Without any account, no key is valid. Daemons of earlier versions omit it in the configurations that they send; then a key is required if there are accounts. */
  readonly isKeyRequired?: boolean;
}
