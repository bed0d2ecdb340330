import {
  type GroupOrderClient,
  ReportTimeoutError,
} from "../../connection/group_order_client.ts";
import type { Either } from "purify-ts";
import type { BackendTarget } from "../../connection/backend_transport.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import type { GroupTable, ReplicaGroup } from "./group_table.ts";
import { LoopDelayMeter } from "./loop_delay_meter.ts";
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

/** Minimum time between two checks of a group with a silent member, in milliseconds. */
const SUSPICION_CHECK_INTERVAL_MS = 200;
/** Times from the first check on for which a member has to be silent until its group counts as lost, in milliseconds: while its VM accepts connections, and while it does not. A sound server may pause for about a second, including the time before the check. */
const SILENCE_LOSS_MS = { connected: 1_300, unreachable: 700 };
/** Delay of the event loop above which a missing response does not count, in milliseconds. A status request takes several turns of the loop. */
const MAX_LOOP_DELAY_MS = 60;

/**
 * Evidence that a member does not serve its group.
 *
 * - `closing`: the head takes no new request, and completes those in flight.
 * - `lost`: the member accepts no connection, or another process uses its address. A server that is about to exit stops listening before its streams are complete.
 * - `changed`: the member responds, but has left the group, or the head has closed it. The responses may have been sent in full, and not been read by their callers.
 * - `silent`: the member does not respond, or not with its state.
 */
type MemberEvidence = "closing" | "lost" | "changed" | "silent";

/** Order in which evidence decides. A closing head comes first: a member that stops stays until the head has no more work, but no longer listens. */
const EVIDENCE_ORDER: readonly MemberEvidence[] = [
  "closing",
  "lost",
  "changed",
  "silent",
];

/** Reason why a member does not serve its group. */
interface MemberFault {
  readonly message: string;
  readonly evidence: MemberEvidence;
  /** Time of silence from which the group is lost, in milliseconds. */
  readonly silenceLossMs: number;
}

/**
 * Detects groups that have lost a member. Silent streams trigger a check of the members, long before the list of servers or the engine shows the loss.
 *
 * A member whose process has ended, or that is not in the group, is a loss. A member that is only silent makes the group suspected: it gets no requests, its streams go on elsewhere where that is possible, and it is checked again until the member responds or has been silent for `SILENCE_LOSS_MS`. No evidence against a group ends a stream: one that has events, or that no other group takes, goes on where it is.
 */
export class GroupFailureDetector {
  readonly #groups: GroupTable;
  readonly #attempts: StreamAttempts;
  readonly #orders: GroupOrderClient;
  readonly #logger: Logger;
  readonly #announceLoss: () => void;
  readonly #lastCheckAtMs = new Map<string, number>();
  /** Checks in progress, by group key. */
  readonly #checks = new Map<string, Promise<void>>();
  /** Groups with a silent member, by key, with the monotonic time of the first check without a response in milliseconds. */
  readonly #silences = new Map<
    string,
    { group: ReplicaGroup; sinceMs: number }
  >();

  constructor(options: {
    groups: GroupTable;
    attempts: StreamAttempts;
    orders: GroupOrderClient;
    logger: Logger;
    /** Sends the loss or the suspicion of a group to the other daemons at once. */
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
      intervalMs = this.#checkSilentGroups();
      this.#groups.removeExpiredSuspicions();
      this.#moveFromLostGroups();
      for (const [key, attempts] of this.#attempts.listByGroup()) {
        const remainingMs = getRemainingMs(attempts);
        if (
          remainingMs < 0 && !this.#hasRecentCheck(key) &&
          !this.#silences.has(key)
        ) {
          void this.checkGroup(attempts[0].group, "silence");
        }
        intervalMs = Math.min(
          intervalMs,
          Math.max(CHECK_INTERVAL_MS, remainingMs),
        );
      }
    }
  }

  /**
   * Requests the state of all members of a group, and records the loss of the group unless every member confirms that it belongs to the group and the head is open, or is only silent. A check that is in progress serves all callers.
   *
   * @param group - Group to check.
   * @param cause - Reason for the check, for the log.
   */
  checkGroup(group: ReplicaGroup, cause: string): Promise<void> {
    const { key } = group;
    const check = this.#checks.get(key) ??
      this.#runCheck(group, cause).finally(() => this.#checks.delete(key));
    this.#checks.set(key, check);
    return check;
  }

  async #runCheck(group: ReplicaGroup, cause: string): Promise<void> {
    const startedAtMs = performance.now();
    this.#lastCheckAtMs.set(group.key, startedAtMs);
    const meter = new LoopDelayMeter();
    const faults = (await Promise.all(
      group.members.map((member) => this.#findFault(group, member)),
    )).filter((fault) => fault !== undefined);
    const loopDelayMs = meter.stop();
    const fault = findDecisive(faults);
    const isObserverSlow = loopDelayMs > MAX_LOOP_DELAY_MS;
    this.#logger.write("info", "group-checked", {
      group: group.key,
      cause,
      outcome: fault?.message ?? "all members confirmed the group",
      evidence: fault?.evidence,
      tookMs: Math.round(performance.now() - startedAtMs),
      loopDelayMs,
    });
    if (fault === undefined) {
      this.#silences.delete(group.key);
      this.#groups.confirmGroup(group.key);
    } else if (fault.evidence === "closing") {
      this.#silences.delete(group.key);
      this.#groups.recordSuspicion(group.key, fault.message);
      this.#moveFromClosingGroup(group, faults);
    } else if (fault.evidence !== "silent") {
      this.#recordLoss(group, fault.message);
    } else if (!isObserverSlow) {
      this.#recordSilence(group, fault, startedAtMs);
    }
  }

  /** Moves the streams of a closing group that stand still since a member does not serve it any more. A member that stops may refuse connections while the streams go on. */
  #moveFromClosingGroup(
    { key }: ReplicaGroup,
    faults: readonly MemberFault[],
  ): void {
    const memberFault = faults.find(({ evidence }) => evidence !== "closing");
    const attempts = this.#attempts.listByGroup()
      .find(([groupKey]) => groupKey === key)?.[1] ?? [];
    const areSilent = attempts.length > 0 && getRemainingMs(attempts) < 0;
    if (memberFault !== undefined && areSilent) {
      this.#attempts.abandonGroup(key, memberFault.message);
    }
  }

  #recordLoss(group: ReplicaGroup, reason: string): void {
    this.#silences.delete(group.key);
    this.#groups.recordLoss(group.key, reason);
    this.#attempts.abandonGroup(group.key, reason);
    this.#announceLoss();
  }

  #recordSilence(
    group: ReplicaGroup,
    { message: reason, silenceLossMs }: MemberFault,
    checkedAtMs: number,
  ): void {
    const silence = this.#silences.get(group.key) ??
      { group, sinceMs: checkedAtMs };
    if (performance.now() - silence.sinceMs >= silenceLossMs) {
      this.#recordLoss(group, reason);
      return;
    }
    this.#silences.set(group.key, silence);
    if (this.#groups.recordSuspicion(group.key, reason)) {
      this.#announceLoss();
    }
    this.#attempts.abandonGroup(group.key, reason);
  }

  /** Checks the groups with a silent member again, and returns the time until the next check in milliseconds. */
  #checkSilentGroups(): number {
    for (const { group } of this.#silences.values()) {
      const { key } = group;
      const lastCheckAtMs = this.#lastCheckAtMs.get(key) ?? 0;
      if (this.#groups.isLost(key)) {
        this.#silences.delete(key);
      } else if (
        performance.now() - lastCheckAtMs >= SUSPICION_CHECK_INTERVAL_MS
      ) {
        void this.checkGroup(group, "suspicion");
      }
    }
    return this.#silences.size > 0 ? CHECK_INTERVAL_MS : MAX_CHECK_INTERVAL_MS;
  }

  async #findFault(
    group: ReplicaGroup,
    member: BackendServer,
  ): Promise<MemberFault | undefined> {
    const createFault = (message: string): MemberFault => ({
      message,
      evidence: "lost",
      silenceLossMs: 0,
    });
    const target = { serverId: member.id, address: member.address };
    const result = await this.#getReport(target);
    return result.caseOf({
      Left: (error) => ({
        ...createFault(`member ${member.id}: ${error.message}`),
        ...error instanceof ReportTimeoutError && {
          evidence: "silent" as const,
          silenceLossMs: error.hasConnected
            ? SILENCE_LOSS_MS.connected
            : SILENCE_LOSS_MS.unreachable,
        },
      }),
      Right: ({ membership }) => {
        const isMember = membership?.groupName === group.name &&
          membership.generation === group.generation;
        if (!isMember) {
          return {
            ...createFault(
              `member ${member.id} does not belong to the group`,
            ),
            evidence: "changed" as const,
          };
        }
        if (member.id !== group.head.id || membership.state === "open") {
          return undefined;
        }
        const fault = createFault(
          `head ${member.id} is ${membership.state}`,
        );
        return {
          ...fault,
          evidence: membership.state === "closing" ? "closing" : "changed",
        };
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
    if (firstResult?.isRight()) {
      return firstResult;
    }
    const secondTimeoutMs = REPORT_TIMEOUT_MS - SECOND_REPORT_DELAY_MS;
    const secondReport = this.#orders.getReport(target, secondTimeoutMs);
    return await Promise.any([firstReport, secondReport].map(async (report) => {
      const result = await report;
      return result.isRight() ? result : Promise.reject(result.extract());
    })).catch(async () => {
      const result = await firstReport;
      return result.extract() instanceof ReportTimeoutError
        ? await secondReport
        : result;
    });
  }

  #moveFromLostGroups(): void {
    for (const [key] of this.#attempts.listByGroup()) {
      if (this.#groups.isLost(key)) {
        this.#attempts.abandonGroup(key, "the group is lost");
      }
    }
  }

  #hasRecentCheck(key: string): boolean {
    const atMs = this.#lastCheckAtMs.get(key);
    return atMs !== undefined && performance.now() - atMs < RECHECK_INTERVAL_MS;
  }

  /** Moves the attempts at lost groups to other ones, and drops outdated check times. An attempt that can't be moved goes on, since a loss may rest on silence alone or on the word of another daemon. */
  #abandonLostGroups(): void {
    this.#moveFromLostGroups();
    for (const key of this.#lastCheckAtMs.keys()) {
      if (!this.#hasRecentCheck(key)) {
        this.#lastCheckAtMs.delete(key);
      }
    }
  }
}

function findDecisive(faults: readonly MemberFault[]): MemberFault | undefined {
  return [...faults].sort((a, b) =>
    EVIDENCE_ORDER.indexOf(a.evidence) - EVIDENCE_ORDER.indexOf(b.evidence)
  )[0];
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
