import type { FakeServerRun } from "../../fakes/fake_backend_server.ts";

/** What a caller asks for. */
export type SoakCallKind = "stream" | "booking" | "lookup";

/** Call as its caller saw it. Times are wall-clock times in milliseconds. */
export interface SoakCall {
  readonly requestId: string;
  readonly kind: SoakCallKind;
  readonly daemon: number;
  readonly key: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Status; undefined when there was no answer. */
  readonly status: number | undefined;
  /** Whether the answer ended as a complete one. */
  readonly isComplete: boolean;
  /** Whether the caller closed the connection since the answer took too long. */
  readonly hasGivenUp: boolean;
  /** Request id that the answer bears. */
  readonly answeredId: string | undefined;
  /** Backend server whose signature the answer bears. */
  readonly signature: string | undefined;
  readonly body: string;
}

/** What a disturbance touched. */
export type DisturbedPart =
  | `daemon-${number}`
  | "store"
  | "model-servers"
  | "plain-servers";

/** Time in which a part was disturbed, or a process came and went. */
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

/** Keys that callers may use from a moment on. */
export interface KeyChange {
  readonly atMs: number;
  readonly added: string;
  readonly removed: string | undefined;
}

/** Time in which a zone is out of service, or from which on a server leaves. */
export interface Exclusion {
  readonly zone?: string;
  readonly serverId?: string;
  readonly fromMs: number;
  untilMs: number;
}

/** Everything that callers, backend servers and the operator of one soak saw. */
export interface SoakRecord {
  readonly calls: SoakCall[];
  readonly runs: FakeServerRun[];
  readonly disturbances: Disturbance[];
  readonly stops: PlannedStop[];
  readonly keyChanges: KeyChange[];
  readonly exclusions: Exclusion[];
  /** Joins that a server took while its group served. */
  conflictingJoins: number;
}
