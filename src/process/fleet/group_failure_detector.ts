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

/** Minimum time between two checks of the streams, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Time between two checks while no stream can be silent for long enough, in milliseconds. It is below the time after which a new stream counts as silent. */
const MAX_CHECK_INTERVAL_MS = 250;
/** Time since the latest event of all streams of a group after which its members are checked, in milliseconds: several times the interval between two batches of a full group. */
const STREAM_SILENCE_TIMEOUT_MS = 300;
/** Time after which the members are checked while no stream of the group has had an event, in milliseconds. It is longer because the engine first reads the prompts, which may be long. */
const FIRST_EVENT_TIMEOUT_MS = 600;
/** Time within which a live member responds to a status request, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Delay before a second status request is sent over another connection, in milliseconds, since a packet of the first may be lost. */
const SECOND_REPORT_DELAY_MS = 100;
/** Minimum time between two checks of a group whose streams are silent, in milliseconds. */
const RECHECK_INTERVAL_MS = 1_000;

/** Evidence that a member does not serve its group. */
interface MemberFault {
  readonly memberId: string;
  readonly message: string;
  /** Whether the process of the member has ended or does not respond. */
  readonly hasEnded: boolean;
}

/** Detects groups that have lost a member. Silent streams trigger a check of the members, long before the list of servers or the engine shows the loss. */
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
    /** Sends the loss of a group to the other daemons at once. */
    announceLoss(): void;
  }) {
    this.#groups = options.groups;
    this.#attempts = options.attempts;
    this.#orders = options.orders;
    this.#logger = options.logger;
    this.#announceLoss = options.announceLoss;
    this.#groups.onChange(() => this.#abandonLostGroups());
  }

  /** Checks the groups whose streams are silent, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let intervalMs = MAX_CHECK_INTERVAL_MS;
    while (await delay(intervalMs, signal)) {
      intervalMs = MAX_CHECK_INTERVAL_MS;
      for (const [key, attempts] of this.#attempts.listByGroup()) {
        const remainingMs = getRemainingMs(attempts);
        if (remainingMs < 0 && !this.#hasRecentCheck(key)) {
          this.checkGroup(attempts[0].group, "silence");
        }
        intervalMs = Math.min(
          intervalMs,
          Math.max(CHECK_INTERVAL_MS, remainingMs),
        );
      }
    }
  }

  /**
   * Requests the state of all members of a group, and records the loss of the group unless every member confirms that it belongs to the group and the head is open.
   *
   * @param group - Group to check.
   * @param cause - Reason for the check, for the log.
   * @returns Whether the process of the head has ended or does not respond.
   */
  async checkGroup(group: ReplicaGroup, cause: string): Promise<boolean> {
    this.#lastCheckAtMs.set(group.key, performance.now());
    const faults = await Promise.all(
      group.members.map((member) => this.#findFault(group, member)),
    );
    const fault = faults.find((memberFault) => memberFault !== undefined)
      ?.message;
    this.#logger.write("info", "group-checked", {
      group: group.key,
      cause,
      outcome: fault ?? "all members confirmed the group",
    });
    if (fault !== undefined) {
      this.#groups.recordLoss(group.key, fault);
      this.#attempts.abandonGroup(group.key, fault);
      this.#announceLoss();
    }
    return faults.some((memberFault) =>
      memberFault?.memberId === group.head.id && memberFault.hasEnded
    );
  }

  async #findFault(
    group: ReplicaGroup,
    member: BackendServer,
  ): Promise<MemberFault | undefined> {
    const createFault = (text: string, hasEnded: boolean) => ({
      memberId: member.id,
      message: text,
      hasEnded,
    });
    const target = { serverId: member.id, address: member.address };
    const result = await this.#getReport(target);
    return result.caseOf({
      Left: (error) =>
        createFault(`member ${member.id}: ${error.message}`, true),
      Right: ({ membership }) => {
        const isMember = membership?.groupName === group.name &&
          membership.generation === group.generation;
        if (!isMember) {
          return createFault(
            `member ${member.id} does not belong to the group`,
            true,
          );
        }
        return member.id === group.head.id && membership.state !== "open"
          ? createFault(`head ${member.id} is ${membership.state}`, false)
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

  /** Ends the attempts at lost groups, including losses that this detector did not find, and drops outdated check times. */
  #abandonLostGroups(): void {
    for (const key of this.#groups.listLostKeys()) {
      this.#attempts.abandonGroup(key, "the group is lost");
    }
    for (const key of this.#lastCheckAtMs.keys()) {
      if (!this.#hasRecentCheck(key)) {
        this.#lastCheckAtMs.delete(key);
      }
    }
  }
}

/** Gets the time until the streams of a group count as silent, in milliseconds; negative when they do. */
function getRemainingMs(attempts: readonly StreamAttempt[]): number {
  const nowMs = performance.now();
  const lastEventAtMs = Math.max(
    ...attempts.map(({ lastEventAtMs }) => lastEventAtMs ?? 0),
  );
  if (lastEventAtMs > 0) {
    return lastEventAtMs + STREAM_SILENCE_TIMEOUT_MS - nowMs;
  }
  const startedAtMs = Math.min(...attempts.map((a) => a.startedAtMs));
  return startedAtMs + FIRST_EVENT_TIMEOUT_MS - nowMs;
}
