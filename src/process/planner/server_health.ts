import type { EngineStatus } from "../../connection/engine_client.ts";

/** What a planner knows about one backend server. */
export interface ServerHealth {
  /** Newest status, which may lag; undefined when the server has not answered. */
  readonly status?: EngineStatus;
  /** Whether the loss of the server is confirmed by status requests. */
  readonly lost: boolean;
  /** Whether the server failed repeatedly and is not chosen for a while. */
  readonly backedOff: boolean;
}
