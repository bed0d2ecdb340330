import { type QuietHours, WEEKDAYS } from "./config_schema.ts";

const MINUTE_MS = 60_000;
const DAY_MS = 86_400_000;
/** Number of local days before the given instant whose windows are returned. */
const SPAN_DAYS_BEFORE = 2;
/** Number of local days after the given instant whose windows are returned. */
const SPAN_DAYS_AFTER = 9;

/** Time span that includes its start and excludes its end, in milliseconds since the epoch. */
export interface TimeSpan {
  readonly startMs: number;
  /** End of the span: the first instant after it. */
  readonly endMs: number;
}

/** Cache of the date formats, which are slow to construct. */
const formatByTimeZone = new Map<string, Intl.DateTimeFormat>();

/**
 * Gets whether the runtime knows an IANA time zone.
 *
 * @param timeZone - Name, for example `Asia/Tokyo`.
 */
export function isKnownTimeZone(timeZone: string): boolean {
  try {
    getDateFormat(timeZone);
    return true;
  } catch {
    return false;
  }
}

/**
 * Gets the spans that quiet-hours windows cover around an instant, merged and sorted by start.
 *
 * When clocks are set back, a local time may occur twice: a window then starts at the first occurrence of its start and ends at the last occurrence of its end. When clocks are set forward, a local time may not exist: it then stands for the instant of the change.
 *
 * @param windows - Windows of one availability zone.
 * @param aroundMs - Instant in milliseconds since the epoch; windows that start from two days before to nine days after it are returned.
 * @example
 * ```ts
 * getQuietSpans(zone.quietHours, Date.now());
 * ```
 */
export function getQuietSpans(
  windows: readonly QuietHours[],
  aroundMs: number,
): TimeSpan[] {
  const spans: TimeSpan[] = [];
  for (const window of windows) {
    const localDayMs = getLocalDayMs(window.timeZone, aroundMs);
    for (let day = -SPAN_DAYS_BEFORE; day <= SPAN_DAYS_AFTER; day++) {
      const dayMs = localDayMs + day * DAY_MS;
      const weekday = WEEKDAYS[(new Date(dayMs).getUTCDay() + 6) % 7];
      if (window.weekdays.includes(weekday)) {
        spans.push(getWindowSpan(window, dayMs));
      }
    }
  }
  return mergeSpans(spans.filter((span) => span.endMs > span.startMs));
}

/**
 * Merges spans that overlap or touch.
 *
 * @param spans - Spans in any order.
 */
export function mergeSpans(spans: readonly TimeSpan[]): TimeSpan[] {
  const mergedSpans: TimeSpan[] = [];
  for (const span of spans.toSorted((a, b) => a.startMs - b.startMs)) {
    const lastSpan = mergedSpans.at(-1);
    if (lastSpan !== undefined && span.startMs <= lastSpan.endMs) {
      mergedSpans[mergedSpans.length - 1] = {
        startMs: lastSpan.startMs,
        endMs: Math.max(lastSpan.endMs, span.endMs),
      };
    } else {
      mergedSpans.push(span);
    }
  }
  return mergedSpans;
}

function getWindowSpan(window: QuietHours, dayMs: number): TimeSpan {
  const fromMs = parseTimeOfDay(window.from);
  const toMs = parseTimeOfDay(window.to);
  const endDayMs = toMs <= fromMs ? dayMs + DAY_MS : dayMs;
  return {
    startMs: Math.min(...resolveWallTime(window.timeZone, dayMs + fromMs)),
    endMs: Math.max(...resolveWallTime(window.timeZone, endDayMs + toMs)),
  };
}

function parseTimeOfDay(text: string): number {
  const [hours, minutes] = text.split(":").map(Number);
  return (hours * 60 + minutes) * MINUTE_MS;
}

/** Gets the local midnight at or before an instant, as the milliseconds that the same date and time have in UTC. */
function getLocalDayMs(timeZone: string, atMs: number): number {
  const localMs = atMs + getOffsetMs(timeZone, atMs);
  return Math.floor(localMs / DAY_MS) * DAY_MS;
}

/** Converts a local time to the instants at which it occurs: normally one, two when clocks are set back over it, and the instant of the change when they are set forward over it. */
function resolveWallTime(timeZone: string, wallMs: number): number[] {
  const offsetBeforeMs = getOffsetMs(timeZone, wallMs - DAY_MS);
  const offsetAfterMs = getOffsetMs(timeZone, wallMs + DAY_MS);
  const instants = [wallMs - offsetBeforeMs, wallMs - offsetAfterMs].filter((
    atMs,
  ) => atMs + getOffsetMs(timeZone, atMs) === wallMs);
  return instants.length > 0 ? instants : [
    findOffsetChange(
      timeZone,
      wallMs - offsetAfterMs,
      wallMs - offsetBeforeMs,
    ),
  ];
}

/** Finds, to the second, the first instant of a span at which the UTC offset equals the one at the span's end. */
function findOffsetChange(
  timeZone: string,
  startMs: number,
  endMs: number,
): number {
  const endOffsetMs = getOffsetMs(timeZone, endMs);
  let [low, high] = [startMs, endMs];
  while (high - low > 1_000) {
    const middle = Math.floor((low + high) / 2);
    if (getOffsetMs(timeZone, middle) === endOffsetMs) {
      high = middle;
    } else {
      low = middle;
    }
  }
  return Math.floor(high / 1_000) * 1_000;
}

function getOffsetMs(timeZone: string, atMs: number): number {
  const valueByType = new Map(
    getDateFormat(timeZone).formatToParts(atMs)
      .map((part) => [part.type, Number(part.value)]),
  );
  const localMs = Date.UTC(
    valueByType.get("year")!,
    valueByType.get("month")! - 1,
    valueByType.get("day")!,
    valueByType.get("hour")!,
    valueByType.get("minute")!,
    valueByType.get("second")!,
  );
  return localMs - Math.floor(atMs / 1_000) * 1_000;
}

function getDateFormat(timeZone: string): Intl.DateTimeFormat {
  let format = formatByTimeZone.get(timeZone);
  if (format === undefined) {
    format = new Intl.DateTimeFormat("en-US", {
      timeZone,
      hourCycle: "h23",
      year: "numeric",
      month: "numeric",
      day: "numeric",
      hour: "numeric",
      minute: "numeric",
      second: "numeric",
    });
    formatByTimeZone.set(timeZone, format);
  }
  return format;
}
