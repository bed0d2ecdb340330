import type { Either } from "purify-ts";
import type { StoreUnavailableError } from "./object_store.ts";

/** Role of a VM: an entry VM runs a daemon, a backend VM runs a backend server. */
export type VmRole = "entry" | "backend";

/** State of a VM: `leaving` means that the platform is about to remove it. */
export type VmState = "live" | "leaving";

/** VM in the platform's VM list. */
export interface Vm {
  readonly name: string;
  readonly role: VmRole;
  /** IP address and port: the peer port of an entry VM, or the engine's port of a backend VM. */
  readonly address: string;
  readonly zone: string;
  /** Fabric domain of a backend VM. */
  readonly fabricDomain?: string;
  readonly state: VmState;
}

/** Client of the platform's list of live and leaving VMs. The list lags behind the actual state of the VMs. */
export interface VmDirectory {
  /** Gets the VMs that the platform currently lists. */
  getVms(): Promise<Either<StoreUnavailableError, Vm[]>>;
}
