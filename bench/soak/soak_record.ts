import type { FakeServerRun } from "../../fakes/fake_backend_server.ts";

/** Kind of request that a caller sends. */
export type SoakCallKind = "stream" | "booking" | "lookup";

/** Result of a call as observed by its caller. Times are wall-clock times in milliseconds. */
export interface SoakCall {
  readonly requestId: string;
  readonly kind: SoakCallKind;
  readonly daemon: number;
  readonly key: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** HTTP status; undefined when the call ended before a response began. */
  readonly status: number | undefined;
  /** Whether the HTTP response ended completely. */
  readonly isComplete: boolean;
  /** Whether the caller closed the connection because the response took too long. */
  readonly hasGivenUp: boolean;
  /** Request id in the response headers. */
  readonly answeredId: string | undefined;
  /** Signature header of the response: the id of the backend server. */
  readonly signature: string | undefined;
  readonly body: string;
}

/** Part of the deployment that a disturbance affects. */
export type DisturbedPart =
  | `daemon-${number}`
  | "store"
  | "model-servers"
  | "plain-servers";

/** Period in which a part was under a fault or was being restarted or replaced. */
export interface Disturbance {
  readonly part: DisturbedPart;
  readonly fromMs: number;
  untilMs: number;
}

/** Planned stop of a daemon. */
export interface PlannedStop {
  readonly daemon: number;
  readonly fromMs: number;
  untilMs: number;
  exitCode: number | null | undefined;
}

/** Change of the valid API keys. */
export interface KeyChange {
  readonly atMs: number;
  readonly added: string;
  readonly removed: string | undefined;
}

/** Period in which the configuration has no client account, so that no key is valid. */
export interface AccountRemoval {
  readonly fromMs: number;
  untilMs: number;
}

/** Period in which a zone is excluded, or a server drains or has removed its entry. */
export interface Exclusion {
  readonly zone?: string;
  readonly serverId?: string;
  readonly fromMs: number;
  untilMs: number;
}

/** Record of one soak: calls, requests that backend servers executed, faults and planned changes. */
export interface SoakRecord {
  readonly calls: SoakCall[];
  readonly runs: FakeServerRun[];
  readonly disturbances: Disturbance[];
  readonly stops: PlannedStop[];
  readonly keyChanges: KeyChange[];
  readonly accountRemovals: AccountRemoval[];
  readonly exclusions: Exclusion[];
  /** Number of joins that servers accepted while the head of their previous group was still serving. */
  conflictingJoins: number;
}
