import type { Either } from "purify-ts";
import type { StoreUnavailableError } from "./object_store.ts";

/** What a VM runs. */
export type VmRole = "entry" | "backend";

/** Whether a VM stays or is about to leave. */
export type VmState = "live" | "leaving";

/** VM of the platform's list. */
export interface Vm {
  readonly name: string;
  readonly role: VmRole;
  /** IP number and port: the peer port of an entry VM, the engine's port of a backend server. */
  readonly address: string;
  readonly zone: string;
  /** Fabric domain of a backend server. */
  readonly fabricDomain?: string;
  readonly state: VmState;
}

/** The platform's list of live and leaving VMs, which lags. */
export interface VmDirectory {
  /** Gets the VMs as the platform lists them now. */
  getVms(): Promise<Either<StoreUnavailableError, Vm[]>>;
}
