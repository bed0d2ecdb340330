import { BackendDirectory } from "../../src/process/fleet/backend_directory.ts";
import { MemberOrderExecutor } from "../../src/process/fleet/member_order_executor.ts";
import { PlannerLeaseHolder } from "../../src/process/fleet/planner_lease_holder.ts";

export type DirectoryOptions = ConstructorParameters<
  typeof BackendDirectory
>[0];
export type ExecutorOptions = ConstructorParameters<
  typeof MemberOrderExecutor
>[0];
export type LeaseOptions = ConstructorParameters<typeof PlannerLeaseHolder>[0];

/** Creates the parts of a daemon. Planted faults replace some of them. */
export class DaemonParts {
  /** Whether the store checks the expected version of a write. */
  readonly isStoreConditional: boolean = true;

  createDirectory(options: DirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  createExecutor(options: ExecutorOptions): MemberOrderExecutor {
    return new MemberOrderExecutor(options);
  }

  createLease(options: LeaseOptions): PlannerLeaseHolder {
    return new PlannerLeaseHolder(options);
  }
}
