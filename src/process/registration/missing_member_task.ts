import { ReportTimeoutError } from "../../connection/group_order_client.ts";
import { delay } from "../../shared/delay.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { GroupTable } from "../fleet/group_table.ts";
import type { MemberOrderExecutor } from "../fleet/member_order_executor.ts";
import { findLoss } from "./missing_member_rules.ts";
import type { MissingMembers } from "./missing_members.ts";

/** Interval between checks of the groups with a missing member, in milliseconds. It is small beside the second that remains between the end of their service and the drain notice time. */
const CHECK_INTERVAL_MS = 50;
/** Interval at which the planner requests the state of a missing member, in milliseconds. A member that has exited blocks its group, and streams may pause for 200 to 300 ms. */
const POLL_INTERVAL_MS = 250;

/** Ends the service of groups whose member is missing for too long and, at the planner, polls the missing members. */
export class MissingMemberTask {
  readonly #missingMembers: MissingMembers;
  readonly #groups: GroupTable;
  readonly #orders: Pick<MemberOrderExecutor, "requestState" | "requestHealth">;
  readonly #isPlanner: () => boolean;
  readonly #announceLoss: () => void;
  /** Monotonic time of the last poll in milliseconds, by group key and server id; infinite while it is in progress. */
  #polledAtMs = new Map<string, number>();

  constructor(options: {
    missingMembers: MissingMembers;
    groups: GroupTable;
    orders: Pick<MemberOrderExecutor, "requestState" | "requestHealth">;
    isPlanner(): boolean;
    /** Sends the loss of a group to the other daemons at once. */
    announceLoss(): void;
  }) {
    this.#missingMembers = options.missingMembers;
    this.#groups = options.groups;
    this.#orders = options.orders;
    this.#isPlanner = () => options.isPlanner();
    this.#announceLoss = () => options.announceLoss();
  }

  /** Runs the checks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (await delay(CHECK_INTERVAL_MS, signal)) {
      this.#groups.removeExpiredMissing();
      if (this.#isPlanner()) {
        this.#checkMembers();
      }
    }
  }

  #checkMembers(): void {
    const nowMs = performance.now();
    const polledAtMs = new Map<string, number>();
    for (const key of this.#missingMembers.listAllowedKeys()) {
      for (const member of this.#missingMembers.listAllowed(key)) {
        const pollKey = `${key} ${member.id}`;
        const lastAtMs = this.#polledAtMs.get(pollKey) ??
          Number.NEGATIVE_INFINITY;
        polledAtMs.set(pollKey, lastAtMs);
        if (nowMs - lastAtMs >= POLL_INTERVAL_MS) {
          polledAtMs.set(pollKey, Number.POSITIVE_INFINITY);
          void this.#checkMember(key, member).finally(() => {
            if (this.#polledAtMs.has(pollKey)) {
              this.#polledAtMs.set(pollKey, nowMs);
            }
          });
        }
      }
    }
    this.#polledAtMs = polledAtMs;
  }

  /** Requests the state of a member, and records the loss of its group if the member does not serve it any more. A missing response is left to the checks of silent members. */
  async #checkMember(key: string, member: BackendServer): Promise<void> {
    const [report, health] = await Promise.all([
      this.#orders.requestState(member),
      this.#orders.requestHealth(member),
    ]);
    const loss = report.caseOf({
      Left: (error) =>
        error instanceof ReportTimeoutError ? undefined : error.message,
      Right: (state) => findLoss(member, state),
    });
    if (report.isRight() && loss === undefined) {
      this.#missingMembers.recordHealth(key, member.id, health);
    }
    if (
      loss !== undefined && this.#missingMembers.isAllowed(key) &&
      this.#missingMembers.listAllowed(key).includes(member) &&
      this.#groups.recordLoss(key, `missing member ${member.id}: ${loss}`)
    ) {
      this.#announceLoss();
    }
  }
}
