import type { EngineStatus } from "../../connection/engine_client.ts";

/** Health of one backend server as a planner observed it. */
export interface ServerHealth {
  /** Latest status, which may be out of date; undefined when the last request failed or the server was not polled, as in a healthy group. */
  readonly status?: EngineStatus;
  /** Whether enough consecutive status requests failed to treat the server as lost. */
  readonly isLost: boolean;
  /** Whether the server failed repeatedly and must not join a group until its back-off ends. */
  readonly isBackedOff: boolean;
}
