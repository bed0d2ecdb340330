import type {
  PartCrashNotice,
  PartSuccessNotice,
  PartSuccessTime,
} from "../../connection/peer_notice.ts";
import type { Logger } from "../../shared/logger.ts";

/** Number of crashes after which a part is refused that no request has ever run with. */
const NEW_PART_THRESHOLD = 3;
/** Number of crashes after which a part is refused that requests ran with before. It is higher because unrelated crashes of many servers hit requests with a common part several times. */
const KNOWN_PART_THRESHOLD = 5;
/** Time without a success after which a part that requests ran with before is refused, in milliseconds; long enough for a new response to show that the part is harmless, and for another daemon to report it. */
const KNOWN_PART_DELAY_MS = 2_500;
/** Number of moments to which the crashes belong after which a part is refused that requests ran with before. Servers that fail together are one moment, however many requests they ran. */
const KNOWN_PART_MOMENTS = 3;
/** Time after which a crash belongs to another moment than the one before, in milliseconds. */
const MOMENT_MS = 500;
/** Time for which a crash counts, in milliseconds. */
const CRASH_RETENTION_MS = 600_000;
/** Number of crashes that are stored. The oldest is evicted first. */
const MAX_CRASHES = 500;
/** Number of requests that are stored for each crash. */
export const MAX_SUSPECTS_PER_CRASH = 20;
/** Size of all suspects in characters of the notice that hands them over to a daemon that starts. The oldest crash is evicted first. It is below the size at which a link is closed because its partner does not read. */
const MAX_SUSPECTS_SIZE = 2_000_000;
/** Characters that a notice has for a suspected part and its success, without the id of the part. */
const PART_OVERHEAD = 100;
/** Number of parts of a request that are stored. */
const MAX_PARTS_PER_SUSPECT = 64;
/** Number of parts whose last success is stored. The part whose success was recorded first is evicted first. */
const MAX_SUCCEEDED_PARTS = 5_000;
/** Time after which the refused parts are determined again, in milliseconds. */
const REFUSALS_LIFETIME_MS = 100;

/** Crash of a group's head, with the requests that may have caused it. */
interface Crash {
  readonly groupKey: string;
  /** Monotonic time of the crash, in milliseconds. */
  readonly atMs: number;
  /** Parts of each suspected request that ran on the group, by their joined ids. */
  readonly suspects: Map<string, readonly string[]>;
  /** Parts with which a response began before or after the crash and has shown that they are harmless. */
  readonly successes: Map<string, PartSuccessTime>;
  /** Size of the suspects in a notice, in characters. */
  size: number;
}

/** Part that is refused in combination with the parts that were in all crashed requests with it. */
interface Refusal {
  readonly part: string;
  readonly companions: readonly string[];
  readonly crashes: number;
}

/** State that the notices to peers describe. The arrays are replaced with each change. */
export interface PromptPartReport {
  readonly crashes: readonly PartCrash[];
  readonly successes: readonly PartSuccessNotice[];
}

/** Suspected request of a crash. */
export interface PartCrash extends Omit<PartCrashNotice, "ageMs"> {
  /** Monotonic time of the crash, in milliseconds. */
  readonly atMs: number;
}

/**
 * Detects parts of prompts that crash every server that responds to them, although no two of the requests are alike.
 *
 * Requests whose response had just begun, or had not, when their head crashed are suspects. A part counts a crash when a suspect contains it and no response with it that began since has shown that it is harmless, at any daemon. Where several parts explain the same crashes, only requests with all of them are refused until a success tells them apart.
 *
 * @example
 * ```ts
 * quarantine.recordCrash(group.key, ["p1", "p2"]);
 * const part = quarantine.findRefusedPart(["p1", "p3"]);
 * ```
 */
export class PromptPartQuarantine {
  readonly #logger: Logger;
  readonly #onChange: () => void;
  /** Crashes in order of arrival, by group key. */
  readonly #crashes = new Map<string, Crash>();
  /** Monotonic time at which the last harmless response with a part began, in milliseconds, in order of arrival. */
  readonly #lastSuccessAtMs = new Map<string, number>();
  /** Size of the suspects of all crashes in a notice, in characters. */
  #suspectsSize = 0;
  #report: PromptPartReport | undefined;
  #refusals: readonly Refusal[] = [];
  #refusalsAtMs = Number.NEGATIVE_INFINITY;
  #isChangePending = false;

  constructor(options: {
    logger: Logger;
    /** Called when there is something new to report to peers. */
    onChange(): void;
  }) {
    this.#logger = options.logger;
    this.#onChange = options.onChange;
  }

  /** Finds a part for which a request is refused; undefined when the request may run. */
  findRefusedPart(parts: readonly string[]): string | undefined {
    if (this.#crashes.size === 0) {
      return undefined;
    }
    return this.#getRefusals().find(({ part, companions }) =>
      parts.includes(part) && companions.every((id) => parts.includes(id))
    )?.part;
  }

  /**
   * Records that the head of a group crashed while it began to respond to a request.
   *
   * @param groupKey - Key of the group.
   * @param parts - Parts of the request's prompt that other requests may have in common with it.
   */
  recordCrash(groupKey: string, parts: readonly string[]): void {
    this.applyCrash({ groupKey, parts, ageMs: 0 });
  }

  /**
   * Records a response that has shown that none of the request's parts crashes servers.
   *
   * @param parts - Parts of the request's prompt that other requests may have in common with it.
   * @param beganAtMs - Monotonic time of its first event, in milliseconds. It says nothing about crashes after that time, since a part may begin to crash servers.
   */
  recordSuccess(parts: readonly string[], beganAtMs: number): void {
    for (const part of parts) {
      const lastAtMs = this.#lastSuccessAtMs.get(part) ?? beganAtMs;
      this.#lastSuccessAtMs.delete(part);
      this.#lastSuccessAtMs.set(part, Math.max(lastAtMs, beganAtMs));
      this.#crashes.forEach(({ groupKey, atMs }) => {
        const time = beganAtMs >= atMs ? "after" : "before";
        this.applySuccess({ groupKey, part, time });
      });
    }
    for (const oldestPart of this.#lastSuccessAtMs.keys()) {
      if (this.#lastSuccessAtMs.size <= MAX_SUCCEEDED_PARTS) {
        break;
      }
      this.#lastSuccessAtMs.delete(oldestPart);
    }
  }

  /** Applies a crash that a peer reported. A crash that was not known yet is reported to other peers. */
  applyCrash({ groupKey, parts: allParts, ageMs }: PartCrashNotice): void {
    const parts = allParts.slice(0, MAX_PARTS_PER_SUSPECT);
    const crash: Crash = this.#crashes.get(groupKey) ?? {
      groupKey,
      atMs: performance.now() - ageMs,
      suspects: new Map(),
      successes: new Map(),
      size: 0,
    };
    const suspectKey = parts.join(",");
    if (
      parts.length === 0 || ageMs > CRASH_RETENTION_MS ||
      crash.suspects.has(suspectKey) ||
      crash.suspects.size >= MAX_SUSPECTS_PER_CRASH
    ) {
      return;
    }
    const size = suspectKey.length + parts.length * PART_OVERHEAD;
    crash.suspects.set(suspectKey, parts);
    crash.size += size;
    this.#suspectsSize += size;
    this.#crashes.set(groupKey, crash);
    this.#removeExcessCrashes();
    this.#publishChange();
    for (const part of parts) {
      const successAtMs = this.#lastSuccessAtMs.get(part);
      if (successAtMs !== undefined) {
        const time = successAtMs > crash.atMs ? "after" : "before";
        this.applySuccess({ groupKey, part, time });
      }
    }
  }

  /** Applies a success that a peer reported. A success that was not known yet is reported to other peers. */
  applySuccess({ groupKey, part, time }: PartSuccessNotice): void {
    const crash = this.#crashes.get(groupKey);
    const knownTime = crash?.successes.get(part);
    const isNew = knownTime !== time && knownTime !== "after";
    if (crash !== undefined && isNew && hasSuspect(crash, part)) {
      crash.successes.set(part, time);
      this.#publishChange();
    }
  }

  /** Gets all crashes and successes that count, for notices to peers. */
  getReport(): PromptPartReport {
    this.#removeExpiredCrashes(performance.now());
    this.#report ??= this.#createReport();
    return this.#report;
  }

  #createReport(): PromptPartReport {
    const crashes = [...this.#crashes.values()];
    return {
      crashes: crashes.flatMap(({ groupKey, atMs, suspects }) =>
        [...suspects.values()].map((parts) => ({ groupKey, atMs, parts }))
      ),
      successes: crashes.flatMap(({ groupKey, successes }) =>
        [...successes].map(([part, time]) => ({ groupKey, part, time }))
      ),
    };
  }

  #publishChange(): void {
    this.#report = undefined;
    this.#refusalsAtMs = Number.NEGATIVE_INFINITY;
    if (!this.#isChangePending) {
      this.#isChangePending = true;
      queueMicrotask(() => {
        this.#isChangePending = false;
        this.#onChange();
      });
    }
  }

  #getRefusals(): readonly Refusal[] {
    const nowMs = performance.now();
    if (nowMs - this.#refusalsAtMs > REFUSALS_LIFETIME_MS) {
      this.#removeExpiredCrashes(nowMs);
      const refusals = findRefusals([...this.#crashes.values()], nowMs);
      this.#reportChanges(this.#refusals, refusals);
      this.#refusals = refusals;
      this.#refusalsAtMs = nowMs;
    }
    return this.#refusals;
  }

  #removeExcessCrashes(): void {
    while (
      this.#crashes.size > MAX_CRASHES || this.#suspectsSize > MAX_SUSPECTS_SIZE
    ) {
      // The order of arrival differs between daemons, which would report evicted crashes to each other again and again.
      const oldest = [...this.#crashes.values()].reduce((a, b) =>
        b.atMs < a.atMs ? b : a
      );
      this.#removeCrash(oldest);
    }
  }

  #removeCrash({ groupKey, size }: Crash): void {
    this.#crashes.delete(groupKey);
    this.#suspectsSize -= size;
    this.#report = undefined;
  }

  #removeExpiredCrashes(nowMs: number): void {
    for (const crash of this.#crashes.values()) {
      if (nowMs - crash.atMs > CRASH_RETENTION_MS) {
        this.#removeCrash(crash);
      }
    }
  }

  #reportChanges(
    previous: readonly Refusal[],
    current: readonly Refusal[],
  ): void {
    const isIn = (refusals: readonly Refusal[], { part }: Refusal) =>
      refusals.some((refusal) => refusal.part === part);
    for (const refusal of current.filter((r) => !isIn(previous, r))) {
      this.#logger.write("warn", "prompt-part-refused", {
        part: refusal.part,
        companions: refusal.companions.join(","),
        crashes: refusal.crashes,
      });
    }
    for (const { part } of previous.filter((r) => !isIn(current, r))) {
      this.#logger.write("info", "prompt-part-allowed", { part });
    }
  }
}

/** Crashes that may have been caused by a part. */
interface Candidate {
  readonly part: string;
  readonly crashes: readonly Crash[];
  readonly isKnown: boolean;
  /** Number of the suspects of these crashes that contain the part. */
  readonly suspects: number;
}

/** Finds the parts to refuse. A crash that one refused part explains does not count for other parts. */
function findRefusals(crashes: readonly Crash[], nowMs: number): Refusal[] {
  const candidates = listCandidates(crashes);
  const explained = new Set<Crash>();
  const refusals: Refusal[] = [];
  for (const candidate of candidates) {
    const { part, isKnown } = candidate;
    const unexplained = candidate.crashes.filter((c) => !explained.has(c));
    if (isSufficient(unexplained, isKnown, nowMs)) {
      unexplained.forEach((crash) => explained.add(crash));
      refusals.push({
        part,
        companions: listCompanions(candidate, candidates),
        crashes: unexplained.length,
      });
    }
  }
  return refusals;
}

function isSufficient(
  crashes: readonly Crash[],
  isKnown: boolean,
  nowMs: number,
): boolean {
  if (!isKnown) {
    return crashes.length >= NEW_PART_THRESHOLD;
  }
  const timesMs = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
  return crashes.length >= KNOWN_PART_THRESHOLD &&
    nowMs - timesMs[0] >= KNOWN_PART_DELAY_MS &&
    countMoments(timesMs) >= KNOWN_PART_MOMENTS;
}

/** Counts the moments to which events with the given ascending times in milliseconds belong. */
function countMoments(timesMs: readonly number[]): number {
  let moments = 0;
  let startMs = Number.NEGATIVE_INFINITY;
  for (const atMs of timesMs) {
    if (atMs - startMs >= MOMENT_MS) {
      moments++;
      startMs = atMs;
    }
  }
  return moments;
}

/** Lists the suspected parts, those with the most crashes first, of these the parts first that no request has run with, and of these the parts with the fewest suspects. */
function listCandidates(crashes: readonly Crash[]): Candidate[] {
  const crashesByPart = new Map<string, Crash[]>();
  for (const crash of crashes) {
    for (const part of new Set([...crash.suspects.values()].flat())) {
      if (crash.successes.get(part) !== "after") {
        const partCrashes = crashesByPart.get(part) ?? [];
        partCrashes.push(crash);
        crashesByPart.set(part, partCrashes);
      }
    }
  }
  return [...crashesByPart].map(([part, partCrashes]) => ({
    part,
    crashes: partCrashes,
    isKnown: partCrashes.some(({ successes }) => successes.has(part)),
    suspects: countSuspects(partCrashes, part),
  })).sort((a, b) =>
    b.crashes.length - a.crashes.length ||
    Number(a.isKnown) - Number(b.isKnown) || a.suspects - b.suspects
  );
}

/** Lists the parts that are as likely a cause as the candidate: all suspects with the candidate contain them, and they did not succeed before unless the candidate did too. */
function listCompanions(
  { part, crashes, isKnown }: Candidate,
  candidates: readonly Candidate[],
): string[] {
  const suspects = crashes.flatMap((crash) =>
    [...crash.suspects.values()].filter((parts) => parts.includes(part))
  );
  return candidates.filter((other) =>
    other.part !== part && (isKnown || !other.isKnown) &&
    other.crashes.length >= crashes.length &&
    suspects.every((parts) => parts.includes(other.part))
  ).map((other) => other.part);
}

function countSuspects(crashes: readonly Crash[], part: string): number {
  return crashes.reduce(
    (sum, { suspects }) =>
      sum + [...suspects.values()].filter((p) => p.includes(part)).length,
    0,
  );
}

function hasSuspect({ suspects }: Crash, part: string): boolean {
  return [...suspects.values()].some((parts) => parts.includes(part));
}
