import { NoticeSectionError } from "../notices/notice_section.ts";
import type { AccountCounts } from "./usage_counter.ts";
import type { HubEntry, SourceCounts } from "./usage_total.ts";

/** Maximum number of windows in a report: the retained ones, the current one and the next. */
const MAX_WINDOWS = 8;
/** Maximum number of client accounts of a configuration. */
const MAX_ACCOUNTS = 1_000;
/** Maximum number of processes in a report, several times that of the largest cell of a hub. */
const MAX_SOURCES = 1_000;
/** Maximum length of the id of a process in characters. */
const MAX_ID_LENGTH = 16;
/** Maximum number of requests of an account in a window. A sum over all processes stays a safe integer. */
const MAX_COUNT = 1_000_000_000;

/** Counts of the sender in one window. */
export interface MemberWindow {
  readonly window: number;
  /** Id of the hub whose sum includes the counts; undefined while the window has not ended. */
  readonly hub: string | undefined;
  readonly counts: AccountCounts;
}

/** Total of one window that a hub reports to its members. */
export interface WindowTotal {
  readonly window: number;
  readonly counts: AccountCounts;
  /** Number of processes that are included. */
  readonly daemonCount: number;
  /** Whether the counts of all known daemons are included. */
  readonly isComplete: boolean;
}

/** Entry of the sender, which is a hub, for one window. */
export interface WindowEntry {
  readonly window: number;
  readonly entry: HubEntry;
}

/** Stop of a process. */
export interface ProcessStop {
  readonly id: string;
  /** Last window in which the process has counted requests. */
  readonly window: number;
}

/** Report of a daemon in its notices. */
export interface UsageNotice {
  /** Id of the process. */
  readonly id: string;
  /** Time of the sender in Unix milliseconds: by its wall clock or, from a hub to its members, by its estimate. */
  readonly atMs: number;
  readonly windows: readonly MemberWindow[];
  readonly entries: readonly WindowEntry[];
  readonly totals: readonly WindowTotal[];
  /** Processes that have stopped in the last windows, whose counts are not awaited any more. */
  readonly stops: readonly ProcessStop[];
}

/** Encodes a report as a JSON value with short names, since it is sent for each window. */
export function encodeUsageNotice(notice: UsageNotice): unknown {
  const { id, atMs, windows, entries, totals, stops } = notice;
  return {
    id,
    at: atMs,
    s: stops.map(({ id, window }) => [id, window]),
    w: windows.map(({ window, hub, counts }) => [
      window,
      hub ?? "",
      Object.fromEntries(counts),
    ]),
    e: entries.map(({ window, entry }) => [
      window,
      entry.sources,
      Object.fromEntries(entry.sum),
      entry.details.map(({ source, isFinal, counts }) => [
        source,
        isFinal ? 1 : 0,
        Object.fromEntries(counts),
      ]),
      entry.pendingCount,
    ]),
    t: totals.map(({ window, counts, daemonCount, isComplete }) => [
      window,
      Object.fromEntries(counts),
      daemonCount,
      isComplete ? 1 : 0,
    ]),
  };
}

/**
 * Decodes a report.
 *
 * @throws {NoticeSectionError} When the value is not a valid report.
 * @example
 * ```ts
 * const { windows } = decodeUsageNotice(report);
 * ```
 */
export function decodeUsageNotice(value: unknown): UsageNotice {
  const fields = (value ?? {}) as Record<string, unknown>;
  return {
    id: decodeId(fields.id),
    atMs: decodeNumber(fields.at, Number.MAX_SAFE_INTEGER),
    windows: decodeList(fields.w, MAX_WINDOWS, decodeMemberWindow),
    entries: decodeList(fields.e, MAX_WINDOWS, decodeEntry),
    totals: decodeList(fields.t, MAX_WINDOWS, decodeTotal),
    stops: decodeList(fields.s, MAX_SOURCES, ([id, window]) => ({
      id: decodeId(id),
      window: decodeNumber(window),
    })),
  };
}

/** Decodes the requests by client account; gets undefined when the value is invalid. */
export function decodeCounts(value: unknown): AccountCounts | undefined {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return undefined;
  }
  const counts = new Map(Object.entries(value));
  const isValid = counts.size <= MAX_ACCOUNTS &&
    [...counts.values()].every((count) => isCount(count, MAX_COUNT));
  return isValid ? counts : undefined;
}

/** Gets whether a value is a whole number from 0 to the maximum. */
export function isCount(
  value: unknown,
  max = Number.MAX_SAFE_INTEGER,
): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0 &&
    Number(value) <= max;
}

function decodeMemberWindow([window, hub, counts]: unknown[]): MemberWindow {
  return {
    window: decodeNumber(window),
    hub: hub === "" ? undefined : decodeId(hub),
    counts: decodeCountsOrThrow(counts),
  };
}

function decodeEntry(
  [window, sources, sum, details, pendingCount]: unknown[],
): WindowEntry {
  return {
    window: decodeNumber(window),
    entry: {
      sources: decodeIds(sources),
      sum: decodeCountsOrThrow(sum),
      details: decodeList(details, MAX_SOURCES, decodeDetail),
      pendingCount: decodeNumber(pendingCount),
    },
  };
}

function decodeDetail([source, isFinal, counts]: unknown[]): SourceCounts {
  return {
    source: decodeId(source),
    isFinal: isFinal === 1,
    counts: decodeCountsOrThrow(counts),
  };
}

function decodeTotal(
  [window, counts, daemonCount, isComplete]: unknown[],
): WindowTotal {
  return {
    window: decodeNumber(window),
    counts: decodeCountsOrThrow(counts),
    daemonCount: decodeNumber(daemonCount),
    isComplete: isComplete === 1,
  };
}

function decodeList<T>(
  value: unknown,
  maxLength: number,
  decode: (element: unknown[]) => T,
): T[] {
  if (!Array.isArray(value) || value.length > maxLength) {
    throw new NoticeSectionError(
      `A list of a usage report must have at most ${maxLength} elements`,
    );
  }
  return value.map((element: unknown) => {
    if (!Array.isArray(element)) {
      throw new NoticeSectionError(
        "The elements of a usage report must be lists",
      );
    }
    return decode(element);
  });
}

function decodeIds(value: unknown): string[] {
  if (!Array.isArray(value) || value.length > MAX_SOURCES) {
    throw new NoticeSectionError(
      `A usage report must name at most ${MAX_SOURCES} processes`,
    );
  }
  return value.map(decodeId);
}

function decodeId(value: unknown): string {
  if (
    typeof value !== "string" || value === "" || value.length > MAX_ID_LENGTH
  ) {
    throw new NoticeSectionError(
      `The id of a process must have 1 to ${MAX_ID_LENGTH} characters`,
    );
  }
  return value;
}

function decodeNumber(value: unknown, max?: number): number {
  if (!isCount(value, max)) {
    throw new NoticeSectionError(
      "A number of a usage report must be a whole number in its range",
    );
  }
  return value;
}

function decodeCountsOrThrow(value: unknown): AccountCounts {
  const counts = decodeCounts(value);
  if (counts === undefined) {
    throw new NoticeSectionError(
      "The counts of a usage report must be whole numbers by account",
    );
  }
  return counts;
}
