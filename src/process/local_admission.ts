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
      .filter((s) => this.#hasRoom(s, request));
    candidates.sort((a, b) => this.#countRunning(a) - this.#countRunning(b));
    const chosenGroup = candidates.at(0);
    if (chosenGroup === undefined) {
      return Promise.resolve(Left(createNoCapacityError(request)));
    }
    return Promise.resolve(Right(this.#grant(chosenGroup, request.alone)));
  }

  #countRunning(serving: ServingGroup): number {
    return this.#runningRequests.get(serving.group.groupId) ?? 0;
  }

  #hasRoom(serving: ServingGroup, request: AdmissionRequest): boolean {
    if (this.#exclusiveGroupIds.has(serving.group.groupId)) {
      return false;
    }
    if (request.alone) {
      return this.#countRunning(serving) === 0;
    }
    const slots = serving.health.state === "cold"
      ? request.model.coldSlots
      : request.model.slotsPerGroup;
    return this.#countRunning(serving) < slots;
  }

  #grant(serving: ServingGroup, alone: boolean): Grant {
    const groupId = serving.group.groupId;
    this.#runningRequests.set(groupId, this.#countRunning(serving) + 1);
    if (alone) {
      this.#exclusiveGroupIds.add(groupId);
    }
    let isReleased = false;
    return {
      group: serving.group,
      leaderAddress: serving.leaderAddress,
      release: (_outcome: GrantOutcome) => {
        if (!isReleased) {
          isReleased = true;
          if (alone) {
            this.#exclusiveGroupIds.delete(groupId);
          }
          this.#runningRequests.set(groupId, this.#countRunning(serving) - 1);
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
