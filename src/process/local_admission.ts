import { type Either, Left, Right } from "purify-ts";
import { RequestError } from "../shared/errors.ts";
import type {
  Admission,
  AdmissionRequest,
  Grant,
  GrantOutcome,
} from "./admission.ts";
import type { GroupDirectory, ServingGroup } from "./group_directory.ts";

const RETRY_AFTER_MS = 500;

/** Admission control that counts only the requests of this daemon and shares no capacity with peers. */
export class LocalAdmission implements Admission {
  readonly #directory: GroupDirectory;
  /** Number of running requests by group id. */
  readonly #runningRequests = new Map<string, number>();
  /** Groups that are reserved for a request that has to run alone. */
  readonly #exclusiveGroupIds = new Set<string>();

  constructor(directory: GroupDirectory) {
    this.#directory = directory;
  }

  acquire(request: AdmissionRequest): Promise<Either<RequestError, Grant>> {
    const candidates = this.#directory.getServingGroups(request.model.name)
      .filter((s) => !request.excludedGroupIds.has(s.group.groupId))
      .filter((s) => this.#hasCapacity(s, request));
    candidates.sort((a, b) => this.#countRunning(a) - this.#countRunning(b));
    const chosenGroup = candidates.at(0);
    if (chosenGroup === undefined) {
      return Promise.resolve(Left(createNoCapacityError(request)));
    }
    return Promise.resolve(Right(this.#grant(chosenGroup, request.alone)));
  }

  #countRunning(servingGroup: ServingGroup): number {
    return this.#runningRequests.get(servingGroup.group.groupId) ?? 0;
  }

  #hasCapacity(servingGroup: ServingGroup, request: AdmissionRequest): boolean {
    if (this.#exclusiveGroupIds.has(servingGroup.group.groupId)) {
      return false;
    }
    if (request.alone) {
      return this.#countRunning(servingGroup) === 0;
    }
    const slots = servingGroup.health.state === "cold"
      ? request.model.coldSlots
      : request.model.slotsPerGroup;
    return this.#countRunning(servingGroup) < slots;
  }

  #grant(servingGroup: ServingGroup, isExclusive: boolean): Grant {
    const groupId = servingGroup.group.groupId;
    this.#runningRequests.set(groupId, this.#countRunning(servingGroup) + 1);
    if (isExclusive) {
      this.#exclusiveGroupIds.add(groupId);
    }
    let isReleased = false;
    return {
      group: servingGroup.group,
      leaderAddress: servingGroup.leaderAddress,
      release: (_outcome: GrantOutcome) => {
        if (!isReleased) {
          isReleased = true;
          if (isExclusive) {
            this.#exclusiveGroupIds.delete(groupId);
          }
          this.#runningRequests.set(
            groupId,
            this.#countRunning(servingGroup) - 1,
          );
        }
      },
    };
  }
}

function createNoCapacityError(request: AdmissionRequest): RequestError {
  return new RequestError(
    `No group of model "${request.model.name}" has room for the request`,
    {
      code: "no-capacity",
      verdict: "not-run",
      status: 503,
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
