import type { DutyClient, DutyFence } from "../../connection/duty_client.ts";
import { getGeneration } from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { BackgroundTask } from "../task_supervisor.ts";
import type { SharedClock } from "./shared_clock.ts";
import { decideUsageStep } from "./usage_decision.ts";
import type { WindowCounts } from "./usage_ledger.ts";
import {
  isRecordOutdated,
  type UsageRecord,
  type UsageRecordStore,
} from "./usage_record.ts";
import { countRequests } from "./usage_total.ts";

/** Interval between two steps, in milliseconds. It bounds the calls to 10 a second when several windows are pending. */
const STEP_INTERVAL_MS = 100;
/** Wait after the first failed call to the store or the platform, in milliseconds; it doubles with each further one. */
const MIN_RETRY_MS = 250;
/** Longest wait after a failed call, in milliseconds, so that a report follows soon after an outage. */
const MAX_RETRY_MS = 2_000;

/** Reports of one holder of the duty with one fencing token. */
interface ReportSession {
  readonly token: number;
  /** Whether the record in the store is known. */
  isLoaded: boolean;
  /** Version of the record in the store; 0 without one. */
  version: number;
  record: UsageRecord | undefined;
  /** Whether the platform has confirmed the recorded window with this token. */
  isConfirmed: boolean;
  firstWindow: number;
  failureCount: number;
  /** Monotonic time before which no further call is made, in milliseconds. */
  retryAtMs: number;
}

/** Times of the lease on which the duty rests. */
export interface LeaseTimes {
  /** Gets the time since the lease was acquired in the current term, in milliseconds. */
  getTermAgeMs(): number;
  /** Gets the time since the lease was last renewed, in milliseconds. */
  getRenewalAgeMs(): number;
}

/** Last record that this daemon has read or written as the holder. */
interface HeldRecord {
  readonly record: UsageRecord;
  /** Token with which this daemon held the lease. */
  readonly token: number;
  /** Last time at which this daemon is known to have held the lease since, on the monotonic clock in milliseconds. */
  readonly heldAtMs: number;
}

/** Components of the usage reports. */
export interface UsageReportOptions {
  readonly records: UsageRecordStore;
  readonly client: Pick<DutyClient, "reportUsage">;
  readonly lease: DutyLease;
  /** Times of the lease on which the duty rests. */
  readonly leaseTimes: LeaseTimes;
  /** Time between the acquisition of the lease and the first call of a holder, in milliseconds. */
  readonly leaseMs: number;
  readonly clock: SharedClock;
  readonly logger: Logger;
  /** Length of a window in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window by which it has to be reported, in milliseconds. */
  readonly dueMs: number;
  /** Counts of all daemons. */
  readonly counts: {
    listWindows(): number[];
    getCounts(window: number): WindowCounts | undefined;
  };
  /** Gets the generation of the store that this daemon knows. */
  getStoreGeneration(): number;
}

/**
 * Reports the usage of each window while this daemon holds the duty.
 *
 * The counts are written to the store before they are sent, and sent as written. A new holder reads them and sends them again as its first call, which has the platform refuse later calls of the previous holder. Two different counts for one window could only be sent after a restore of the store has lost a record, so that a holder leaves out the windows that may be concerned.
 */
export class UsageReportTask implements BackgroundTask {
  readonly #options: UsageReportOptions;
  #session: ReportSession | undefined;
  /** Latest generation of the store, and the first window that cannot have been sent before this daemon noticed it. */
  #restore:
    | { readonly generation: number; readonly firstWindow: number }
    | undefined;
  #heldRecord: HeldRecord | undefined;
  #reportedWindow: number | undefined;
  #skippedCount = 0;

  constructor(options: UsageReportOptions) {
    this.#options = options;
  }

  /** Gets the number of windows that this daemon has left out. */
  get skippedCount(): number {
    return this.#skippedCount;
  }

  /** Gets the time since the end of the last window that this daemon has reported, in milliseconds; undefined before the first one. */
  getReportAgeMs(): number | undefined {
    return this.#reportedWindow === undefined
      ? undefined
      : this.#getSinceEndMs(this.#reportedWindow);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (await delay(STEP_INTERVAL_MS, signal)) {
      await this.#runStep();
    }
  }

  async #runStep(): Promise<void> {
    this.#observeGeneration(this.#options.getStoreGeneration());
    const fence = this.#options.lease.getFence();
    if (fence === undefined) {
      this.#session = undefined;
      return;
    }
    if (this.#session?.token !== fence.token) {
      this.#session = createSession(fence.token);
    }
    const session = this.#session;
    this.#recordHolding(session);
    if (performance.now() < session.retryAtMs) {
      return;
    }
    if (!session.isLoaded) {
      await this.#load(session, fence);
    } else {
      await this.#takeStep(session);
    }
  }

  /** Reads the record in the store. */
  async #load(session: ReportSession, fence: DutyFence): Promise<void> {
    const { records, lease, logger } = this.#options;
    const result = await records.read();
    if (result.outcome === "failed") {
      recordFailure(session);
      return;
    }
    session.failureCount = 0;
    session.isLoaded = true;
    session.version = "version" in result ? result.version : 0;
    const record = result.outcome === "found" ? result.record : undefined;
    if (record !== undefined && record.token > session.token) {
      // The record shows a later holder before its first call does.
      session.isLoaded = false;
      lease.recordFenced(fence);
      return;
    }
    session.isConfirmed &&= session.record?.window === record?.window;
    session.record = record;
    session.firstWindow = record === undefined
      ? this.#findFirstWindow()
      : record.window + 1;
    if (result.outcome === "invalid") {
      logger.write("warn", "usage-record-invalid", { version: result.version });
    }
    const isUnknown = result.outcome === "invalid" ||
      (record === undefined
        ? this.#getGeneration(session) > 0
        : isRecordOutdated(record, session.version));
    if (isUnknown && !this.#tryContinue(session)) {
      this.#abandonUnknownWindows(session);
    }
  }

  /** Notices a restore of the store. */
  #observeGeneration(generation: number): void {
    if (generation > (this.#restore?.generation ?? 0)) {
      this.#restore = { generation, firstWindow: this.#currentWindow + 1 };
    }
  }

  #recordHolding({ isLoaded, record, token }: ReportSession): void {
    const renewalAgeMs = this.#options.leaseTimes.getRenewalAgeMs();
    if (isLoaded && record !== undefined && Number.isFinite(renewalAgeMs)) {
      this.#heldRecord = {
        record,
        token,
        heldAtMs: performance.now() - renewalAgeMs,
      };
    }
  }

  /**
   * Continues with the record that this daemon knows, if the store has lost it in a restore and no other daemon can have recorded a window since.
   *
   * Another holder would have had to wait `leaseMs` after it acquired the lease, which it could only do after the last renewal by this daemon. What it records after the restore shows the new generation.
   */
  #tryContinue(session: ReportSession): boolean {
    const { leaseTimes, leaseMs, logger } = this.#options;
    const held = this.#heldRecord;
    if (held === undefined) {
      return false;
    }
    const nowMs = performance.now();
    const heldAgainAtMs = held.token === session.token
      ? nowMs
      : nowMs - leaseTimes.getTermAgeMs();
    if (heldAgainAtMs - held.heldAtMs > leaseMs) {
      return false;
    }
    const { window } = held.record;
    logger.write("info", "usage-record-restored", {
      window,
      storedWindow: session.record?.window,
      token: session.token,
      heldAgeMs: Math.round(nowMs - held.heldAtMs),
    });
    session.record = held.record;
    session.isConfirmed = false;
    session.firstWindow = window + 1;
    return true;
  }

  /** Finds the first window of which counts are known. */
  #findFirstWindow(): number {
    const { counts } = this.#options;
    return counts.listWindows().find((window) =>
      counts.getCounts(window) !== undefined
    ) ?? this.#currentWindow;
  }

  get #currentWindow(): number {
    const { clock, windowMs } = this.#options;
    return Math.floor(clock.getNowMs() / windowMs);
  }

  #getGeneration({ version }: ReportSession): number {
    return version === 0
      ? this.#options.getStoreGeneration()
      : getGeneration(version);
  }

  /** Leaves out the windows that may have been sent with a record that the store has lost: those that ended before the restore was noticed, and the one after them. */
  #abandonUnknownWindows(session: ReportSession): void {
    this.#observeGeneration(this.#getGeneration(session));
    const firstWindow = this.#restore?.firstWindow ?? this.#currentWindow + 1;
    if (firstWindow > session.firstWindow) {
      this.#recordSkip(session, {
        fromWindow: session.firstWindow,
        toWindow: firstWindow - 1,
        reason: "may have been sent before a restore of the store",
      });
    }
  }

  #recordSkip(session: ReportSession, skip: {
    fromWindow: number;
    toWindow: number;
    reason: string;
  }): void {
    this.#skippedCount += skip.toWindow - skip.fromWindow + 1;
    session.firstWindow = skip.toWindow + 1;
    this.#options.logger.write("warn", "usage-windows-skipped", {
      ...skip,
      token: session.token,
      sinceEndMs: Math.round(this.#getSinceEndMs(skip.toWindow)),
    });
  }

  async #takeStep(session: ReportSession): Promise<void> {
    const { clock, windowMs, dueMs, counts } = this.#options;
    const step = decideUsageStep({
      nowMs: clock.getNowMs(),
      windowMs,
      dueMs,
      recordedWindow: session.record?.window,
      isConfirmed: session.isConfirmed,
      firstWindow: session.firstWindow,
      getCounts: (window) => counts.getCounts(window),
    });
    if (step.kind === "skip") {
      this.#recordSkip(session, {
        fromWindow: step.fromWindow,
        toWindow: step.toWindow,
        reason: step.reason,
      });
    } else if (step.kind === "record") {
      await this.#record(session, step.window, step.counts);
    }
    if (step.kind === "send" || (step.kind === "record" && session.isLoaded)) {
      await this.#send(session);
    }
  }

  async #record(
    session: ReportSession,
    window: number,
    { counts, daemonCount, isComplete }: WindowCounts,
  ): Promise<void> {
    const { records, logger } = this.#options;
    const generation = this.#getGeneration(session);
    const { token } = session;
    const record = { window, counts, token, generation, daemonCount };
    const result = await records.write(record, session.version);
    logger.write("info", "usage-recorded", {
      window,
      requests: countRequests(counts),
      daemons: daemonCount,
      isComplete,
      outcome: typeof result === "number" ? "written" : result,
      token,
      sinceEndMs: Math.round(this.#getSinceEndMs(window)),
    });
    if (typeof result === "string") {
      // Another holder or this one may have recorded the window, which the next read shows.
      session.isLoaded = false;
      recordFailure(session);
      return;
    }
    session.version = result;
    session.isConfirmed = false;
    session.failureCount = 0;
    if (getGeneration(result) === generation) {
      session.record = record;
    } else {
      // The store was restored before the write, so that the window may have been sent with other counts. The next record replaces this one.
      session.record = undefined;
      this.#abandonUnknownWindows(session);
    }
  }

  async #send(session: ReportSession): Promise<void> {
    const { lease, client, logger } = this.#options;
    const fence = lease.getFence();
    const { record, token } = session;
    if (record === undefined || fence?.token !== token) {
      return;
    }
    const { window, counts, daemonCount } = record;
    const outcome = await client.reportUsage(
      { window, counts: Object.fromEntries(counts) },
      fence,
    );
    logger.write("info", "usage-reported", {
      window,
      requests: countRequests(counts),
      daemons: daemonCount,
      outcome,
      token,
      recordedToken: record.token,
      failures: session.failureCount,
      sinceEndMs: Math.round(this.#getSinceEndMs(window)),
    });
    if (outcome === "done") {
      session.isConfirmed = true;
      session.failureCount = 0;
      this.#reportedWindow = window;
    } else if (outcome === "fenced") {
      lease.recordFenced(fence);
    } else {
      recordFailure(session);
    }
  }

  #getSinceEndMs(window: number): number {
    const { clock, windowMs } = this.#options;
    return clock.getNowMs() - (window + 1) * windowMs;
  }
}

function createSession(token: number): ReportSession {
  return {
    token,
    isLoaded: false,
    version: 0,
    record: undefined,
    isConfirmed: false,
    firstWindow: 0,
    failureCount: 0,
    retryAtMs: 0,
  };
}

function recordFailure(session: ReportSession): void {
  const waitMs = Math.min(
    MAX_RETRY_MS,
    MIN_RETRY_MS * 2 ** session.failureCount,
  );
  session.failureCount++;
  session.retryAtMs = performance.now() + waitMs;
}
