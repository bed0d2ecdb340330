import { type Either, Left } from "purify-ts";
import { ReportTimeoutError } from "../../src/connection/group_order_client.ts";
import { BackendDirectory } from "../../src/process/fleet/backend_directory.ts";
import { MemberOrderExecutor } from "../../src/process/fleet/member_order_executor.ts";
import { PlannerLeaseHolder } from "../../src/process/fleet/planner_lease_holder.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../src/shared/backend_server.ts";
import {
  DaemonParts,
  type DirectoryOptions,
  type ExecutorOptions,
  type LeaseOptions,
} from "./daemon_parts.ts";

/**
 * Guard that is taken out of the real parts, to show that the search finds what the guard prevents.
 *
 * - `unanswered-join`: a group is opened although a later join of a member is outstanding.
 * - `unconfirmed-membership`: a server that didn't answer the first status request of a term is sent orders on the strength of the list.
 * - `endless-lease`: a daemon that once held the lease goes on as planner.
 * - `equal-terms`: all planners use the same term.
 * - `silence-is-loss`: a server that doesn't answer one status request counts as ended.
 * - `equal-generations`: all groups have the same generation.
 * - `unread-reports`: the state of a server is taken from the list alone.
 * - `unconditional-writes`: the store ignores the expected version of a write.
 * - `hidden-open`: the list shows open groups as ready.
 */
export type PlantedFaultName =
  | "unanswered-join"
  | "unconfirmed-membership"
  | "endless-lease"
  | "equal-terms"
  | "silence-is-loss"
  | "equal-generations"
  | "unread-reports"
  | "unconditional-writes"
  | "hidden-open";

export const PLANTED_FAULT_NAMES: readonly PlantedFaultName[] = [
  "unanswered-join",
  "unconfirmed-membership",
  "endless-lease",
  "equal-terms",
  "silence-is-loss",
  "equal-generations",
  "unread-reports",
  "unconditional-writes",
  "hidden-open",
];

/** Creates the parts of a daemon without one of the guards. */
export function createPlantedParts(name: PlantedFaultName): DaemonParts {
  switch (name) {
    case "unanswered-join":
      return new ExecutorParts(ForgetfulExecutor);
    case "unconfirmed-membership":
      return new ExecutorParts(TrustingExecutor);
    case "silence-is-loss":
      return new ExecutorParts(ImpatientExecutor);
    case "equal-generations":
      return new ExecutorParts(EqualGenerationExecutor);
    case "unread-reports":
      return new DirectoryParts(UnreadReportDirectory);
    case "endless-lease":
      return new LeaseParts(EndlessLease);
    case "equal-terms":
      return new LeaseParts(EqualTermLease);
    case "unconditional-writes":
      return new UnconditionalParts();
    case "hidden-open":
      return new DirectoryParts(HiddenOpenDirectory);
  }
}

class ExecutorParts extends DaemonParts {
  readonly #Executor: typeof MemberOrderExecutor;

  constructor(Executor: typeof MemberOrderExecutor) {
    super();
    this.#Executor = Executor;
  }

  override createExecutor(options: ExecutorOptions): MemberOrderExecutor {
    return new this.#Executor(options);
  }
}

class LeaseParts extends DaemonParts {
  readonly #Lease: typeof PlannerLeaseHolder;

  constructor(Lease: typeof PlannerLeaseHolder) {
    super();
    this.#Lease = Lease;
  }

  override createLease(options: LeaseOptions): PlannerLeaseHolder {
    return new this.#Lease(options);
  }
}

class UnconditionalParts extends DaemonParts {
  override readonly isStoreConditional = false;
}

class DirectoryParts extends DaemonParts {
  readonly #Directory: typeof BackendDirectory;

  constructor(Directory: typeof BackendDirectory) {
    super();
    this.#Directory = Directory;
  }

  override createDirectory(options: DirectoryOptions): BackendDirectory {
    return new this.#Directory(options);
  }
}

class ForgetfulExecutor extends MemberOrderExecutor {
  override hasUnansweredJoin(): boolean {
    return false;
  }
}

class TrustingExecutor extends MemberOrderExecutor {
  override async refreshServer(server: BackendServer): Promise<boolean> {
    await super.refreshServer(server);
    return true;
  }
}

class ImpatientExecutor extends MemberOrderExecutor {
  override async requestState(
    server: BackendServer,
  ): Promise<Either<Error, BackendReport>> {
    const report = await super.requestState(server);
    return report.isLeft() && report.extract() instanceof ReportTimeoutError
      ? Left(new Error("The server has ended"))
      : report;
  }
}

/** Generation of all groups without the guard that it rises. */
const EQUAL_GENERATION = 1;

class EqualGenerationExecutor extends MemberOrderExecutor {
  override joinGroup(
    ...[server, group, options]: Parameters<MemberOrderExecutor["joinGroup"]>
  ): Promise<boolean> {
    const equalGroup = { ...group, generation: EQUAL_GENERATION };
    return super.joinGroup(server, equalGroup, options);
  }

  override openGroup(
    ...[head, { groupName }, options]: Parameters<
      MemberOrderExecutor["openGroup"]
    >
  ): Promise<boolean> {
    const equalGroup = { groupName, generation: EQUAL_GENERATION };
    return super.openGroup(head, equalGroup, options);
  }
}

class UnreadReportDirectory extends BackendDirectory {
  override applyReport(): void {}
}

class EndlessLease extends PlannerLeaseHolder {
  #lastTerm: number | undefined;

  override getTerm(): number | undefined {
    this.#lastTerm = super.getTerm() ?? this.#lastTerm;
    return this.#lastTerm;
  }
}

class EqualTermLease extends PlannerLeaseHolder {
  override getTerm(): number | undefined {
    return super.getTerm() === undefined ? undefined : 1;
  }
}

class HiddenOpenDirectory extends BackendDirectory {
  override listServers(service?: string): BackendServer[] {
    return super.listServers(service).map((server) =>
      server.membership?.state === "open"
        ? { ...server, membership: { ...server.membership, state: "ready" } }
        : server
    );
  }
}
