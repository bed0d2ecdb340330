import type { RouteKind } from "../../version/routing_config.ts";

/** Request whose destination is explained without sending it. */
export interface RouteQuery {
  readonly host: string;
  readonly path: string;
  /** Name of the client account; undefined for a request without an API key. */
  readonly account?: string;
  /** Model of the request; undefined for a plain service. */
  readonly model?: string;
}

/** Group or server that a daemon considers for a request. */
export interface CandidateExplanation {
  /** Key of the group, or id of the server. */
  readonly id: string;
  readonly zone: string;
  /** Requests in flight that the daemon counts, with its penalties for this destination. */
  readonly load: number;
  readonly slots: number;
  /** Requests added to the load, for example for another zone. */
  readonly penalty: number;
  /** Learned speed as a share of that of the other groups; 1 when it does not deviate. */
  readonly speed: number;
  /** Fraction of such requests that the daemon would send here now, from 0 to 1. */
  readonly share: number;
  /** Reasons for which the request cannot go here now; empty when it can. */
  readonly obstacles: readonly string[];
}

/** Service to which a route may send a request. */
export interface TargetExplanation {
  readonly service: string;
  /** Fraction of the route's requests that are for this service, from 0 to 1. */
  readonly share: number;
  /** Requests of all models that wait at the daemon. */
  readonly waitingRequests: number;
  /** Whether the request would get a destination at once. */
  readonly isAdmittedNow: boolean;
  /** Time after which a refused caller would be told to retry, in milliseconds; undefined when it would not be refused as not run. */
  readonly retryAfterMs: number | undefined;
  readonly candidates: readonly CandidateExplanation[];
}

/** Where one daemon would send a request now, and why. */
export interface RouteExplanation {
  /** Daemon from whose state the explanation comes; others may choose differently. */
  readonly daemon: string;
  readonly zone: string;
  readonly configVersion: number | undefined;
  /** Reason for which the request would be refused whatever the servers' state; undefined when there is none. */
  readonly refusal: string | undefined;
  readonly route: {
    readonly name: string;
    readonly kind: RouteKind;
    readonly timeoutMs: number;
    readonly latencyObjectiveMs: number;
    readonly maxAttempts: number;
  } | undefined;
  readonly priority: number | undefined;
  readonly targets: readonly TargetExplanation[];
}
