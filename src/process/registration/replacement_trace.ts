import type { Logger } from "../../shared/logger.ts";
import type { ReportedGroup } from "../fleet/reported_group.ts";

/** Time for which the steps of a group are kept after its last member has left it, in milliseconds. It exceeds that of a formation, in which members leave one group and join the next. */
const RETENTION_MS = 10_000;

/** Reason why a group has to be replaced. */
export type ReplacementCause =
  | "lost"
  | "broken"
  | "incomplete"
  | "draining"
  | "outdated";

/** Monotonic times of the steps of a group's end in milliseconds; undefined before a step. */
interface GroupEnd {
  readonly cause: ReplacementCause;
  readonly detectedAtMs: number;
  /** Time at which the planner knew that the head takes no requests and has none in flight. */
  closedAtMs: number | undefined;
  /** Last time at which a server reported the group. */
  reportedAtMs: number;
}

/** Monotonic times of the steps of a formation in milliseconds; undefined for a step that was not reached. */
export interface FormationSteps {
  readonly orderedAtMs: number;
  /** Time at which the last member that had to leave another group has left it. */
  readonly leftAtMs: number | undefined;
  readonly joinedAtMs: number | undefined;
  readonly openAtMs: number | undefined;
}

/** Records when the groups that have to be replaced were detected and closed, and logs the time of each step once the next group is open. */
export class ReplacementTrace {
  readonly #logger: Logger;
  readonly #ends = new Map<string, GroupEnd>();

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /**
   * Records the groups that have to be replaced.
   *
   * @param groups - All groups that the servers of a service report.
   * @param isLost - Gets whether the loss of a group was recorded, by its key.
   */
  observe(
    groups: Iterable<ReportedGroup>,
    isLost: (key: string) => boolean,
  ): void {
    const nowMs = performance.now();
    for (const group of groups) {
      const { key, head } = group;
      const state = head?.membership?.state;
      const end = this.#ends.get(key);
      const cause = findCause(group, isLost(key));
      if (cause === undefined) {
        this.#ends.delete(key);
        continue;
      }
      const closedAtMs = state === "open" || state === "closing"
        ? undefined
        : end?.closedAtMs ?? nowMs;
      this.#ends.set(key, {
        cause: end?.cause ?? cause,
        detectedAtMs: end?.detectedAtMs ?? nowMs,
        closedAtMs,
        reportedAtMs: nowMs,
      });
    }
    for (const [key, { reportedAtMs }] of this.#ends) {
      if (nowMs - reportedAtMs > RETENTION_MS) {
        this.#ends.delete(key);
      }
    }
  }

  /**
   * Logs the steps by which a group replaced those that its members belonged to before.
   *
   * @param key - Key of the new group.
   * @param replacedKeys - Keys of the groups that its members belonged to when the formation was ordered.
   * @param steps - Times of the formation.
   */
  recordFormation(
    key: string,
    replacedKeys: ReadonlySet<string>,
    steps: FormationSteps,
  ): void {
    for (const replacedKey of replacedKeys) {
      const end = this.#ends.get(replacedKey);
      if (end === undefined) {
        continue;
      }
      const getStepMs = (atMs: number | undefined) =>
        atMs === undefined ? undefined : Math.round(atMs - end.detectedAtMs);
      this.#logger.write("info", "group-replaced", {
        group: key,
        replaced: replacedKey,
        cause: end.cause,
        closedMs: getStepMs(end.closedAtMs),
        orderedMs: getStepMs(steps.orderedAtMs),
        leftMs: getStepMs(steps.leftAtMs),
        joinedMs: getStepMs(steps.joinedAtMs),
        openMs: getStepMs(steps.openAtMs),
      });
      if (steps.openAtMs !== undefined) {
        this.#ends.delete(replacedKey);
      }
    }
  }
}

function findCause(
  { head, members, missingMembers, isOutdated }: ReportedGroup,
  isLost: boolean,
): ReplacementCause | undefined {
  if (isLost) {
    return "lost";
  }
  if (head?.membership?.state === "broken") {
    return "broken";
  }
  if (head === undefined || missingMembers.length > 0) {
    return "incomplete";
  }
  if (members.some(({ isDraining }) => isDraining)) {
    return "draining";
  }
  return isOutdated ? "outdated" : undefined;
}
