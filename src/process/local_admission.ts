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

/** Admission that counts the requests of this daemon alone, without sharing capacity with peers. */
export class LocalAdmission implements Admission {
  readonly #directory: GroupDirectory;
  readonly #running = new Map<string, number>();
  /** Groups that one request runs on alone. */
  readonly #taken = new Set<string>();

  constructor(directory: GroupDirectory) {
    this.#directory = directory;
  }

  acquire(request: AdmissionRequest): Promise<Either<RequestError, Grant>> {
    const candidates = this.#directory.getServingGroups(request.model.name)
      .filter((s) => !request.excludedGroupIds.has(s.group.groupId))
      .filter((s) => this.#hasRoom(s, request));
    candidates.sort((a, b) => this.#getRunning(a) - this.#getRunning(b));
    const chosen = candidates.at(0);
    if (chosen === undefined) {
      return Promise.resolve(Left(createNoCapacityError(request)));
    }
    return Promise.resolve(Right(this.#grant(chosen, request.alone)));
  }

  #getRunning(serving: ServingGroup): number {
    return this.#running.get(serving.group.groupId) ?? 0;
  }

  #hasRoom(serving: ServingGroup, request: AdmissionRequest): boolean {
    if (this.#taken.has(serving.group.groupId)) {
      return false;
    }
    if (request.alone) {
      return this.#getRunning(serving) === 0;
    }
    const slots = serving.health.state === "cold"
      ? request.model.coldSlots
      : request.model.slotsPerGroup;
    return this.#getRunning(serving) < slots;
  }

  #grant(serving: ServingGroup, alone: boolean): Grant {
    const id = serving.group.groupId;
    this.#running.set(id, this.#getRunning(serving) + 1);
    if (alone) {
      this.#taken.add(id);
    }
    let released = false;
    return {
      group: serving.group,
      leaderAddress: serving.leaderAddress,
      release: (_outcome: GrantOutcome) => {
        if (!released) {
          released = true;
          if (alone) {
            this.#taken.delete(id);
          }
          this.#running.set(id, this.#getRunning(serving) - 1);
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
