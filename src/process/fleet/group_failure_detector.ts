import type { GroupOrderClient } from "../../connection/group_order_client.ts";
import type { Either } from "purify-ts";
import type { BackendTarget } from "../../connection/backend_transport.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import type { GroupTable, ReplicaGroup } from "./group_table.ts";
import type { StreamAttempt, StreamAttempts } from "./stream_attempts.ts";

const CHECK_INTERVAL_MS = 50;
/** Silence of all streams of a group after which its members are asked, in milliseconds: several times the time between two batches of a full group. */
const STREAM_SILENCE_TIMEOUT_MS = 300;
/** The same while no stream has begun, since long prompts are read first. */
const FIRST_EVENT_TIMEOUT_MS = 600;
/** Time in which a living member answers, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Time after which a member is asked over a second connection, since a packet of the first may be lost, in milliseconds. */
const SECOND_REPORT_DELAY_MS = 100;
/** Time after which a group whose members all answered is asked again, in milliseconds. */
const RECHECK_INTERVAL_MS = 1_000;

/** Finds the groups that have lost a member by the silence of their streams, long before the list or the engine tells. */
export class GroupFailureDetector {
  readonly #groups: GroupTable;
  readonly #attempts: StreamAttempts;
  readonly #orders: GroupOrderClient;
  readonly #logger: Logger;
  readonly #announceLoss: () => void;
  readonly #lastCheckAtMs = new Map<string, number>();

  constructor(options: {
    groups: GroupTable;
    attempts: StreamAttempts;
    orders: GroupOrderClient;
    logger: Logger;
    /** Tells the other daemons of a lost group at once. */
    announceLoss(): void;
  }) {
    this.#groups = options.groups;
    this.#attempts = options.attempts;
    this.#orders = options.orders;
    this.#logger = options.logger;
    this.#announceLoss = options.announceLoss;
    this.#groups.onChange(() => this.#abandonLostGroups());
  }

  /** Checks the groups until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (await delay(CHECK_INTERVAL_MS, signal)) {
      for (const [key, attempts] of this.#attempts.listByGroup()) {
        if (isGroupSilent(attempts) && !this.#hasRecentCheck(key)) {
          this.checkGroup(attempts[0].group, "silence");
        }
      }
    }
  }

  /**
   * Asks all members of a group for their state, and records the loss of the group when one does not confirm it.
   *
   * @param group - Group in doubt.
   * @param cause - What raised the doubt.
   */
  async checkGroup(group: ReplicaGroup, cause: string): Promise<void> {
    this.#lastCheckAtMs.set(group.key, performance.now());
    const faults = await Promise.all(
      group.members.map((member) => this.#findFault(group, member)),
    );
    const fault = faults.find((found) => found !== undefined);
    this.#logger.write("info", "group-checked", {
      group: group.key,
      cause,
      outcome: fault ?? "all members answer",
    });
    if (fault !== undefined) {
      this.#groups.recordLoss(group.key, fault);
      this.#attempts.abandonGroup(group.key, fault);
      this.#announceLoss();
    }
  }

  async #findFault(
    group: ReplicaGroup,
    member: BackendServer,
  ): Promise<string | undefined> {
    const target = { serverId: member.id, address: member.address };
    const result = await this.#getReport(target);
    return result.caseOf({
      Left: (error) => `member ${member.id}: ${error.message}`,
      Right: ({ membership }) => {
        const isMember = membership?.groupName === group.name &&
          membership.generation === group.generation;
        if (!isMember) {
          return `member ${member.id} is in another group`;
        }
        return member.id === group.head.id && membership.state !== "open"
          ? `head ${member.id} is ${membership.state}`
          : undefined;
      },
    });
  }

  async #getReport(
    target: BackendTarget,
  ): Promise<Either<Error, BackendReport>> {
    const firstReport = this.#orders.getReport(target, REPORT_TIMEOUT_MS);
    const firstResult = await Promise.race([
      firstReport,
      delay(SECOND_REPORT_DELAY_MS).then(() => undefined),
    ]);
    if (firstResult !== undefined) {
      return firstResult;
    }
    const secondTimeoutMs = REPORT_TIMEOUT_MS - SECOND_REPORT_DELAY_MS;
    const secondReport = this.#orders.getReport(target, secondTimeoutMs);
    return await Promise.any([firstReport, secondReport].map(async (report) => {
      const result = await report;
      return result.isRight() ? result : Promise.reject(result.extract());
    })).catch(() => firstReport);
  }

  #hasRecentCheck(key: string): boolean {
    const atMs = this.#lastCheckAtMs.get(key);
    return atMs !== undefined && performance.now() - atMs < RECHECK_INTERVAL_MS;
  }

  /** Ends the attempts at groups of which another part has learned that they are lost. */
  #abandonLostGroups(): void {
    for (const key of this.#groups.listLost()) {
      this.#attempts.abandonGroup(key, "the group is lost");
    }
    for (const key of this.#lastCheckAtMs.keys()) {
      if (!this.#hasRecentCheck(key)) {
        this.#lastCheckAtMs.delete(key);
      }
    }
  }
}

function isGroupSilent(attempts: readonly StreamAttempt[]): boolean {
  const nowMs = performance.now();
  const lastEventAtMs = Math.max(
    ...attempts.map(({ lastEventAtMs }) => lastEventAtMs ?? 0),
  );
  if (lastEventAtMs > 0) {
    return nowMs - lastEventAtMs > STREAM_SILENCE_TIMEOUT_MS;
  }
  const startedAtMs = Math.min(...attempts.map((a) => a.startedAtMs));
  return nowMs - startedAtMs > FIRST_EVENT_TIMEOUT_MS;
}
