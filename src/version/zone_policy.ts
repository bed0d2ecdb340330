import type { ConfigHolder } from "./config_holder.ts";
import type { ConfigDocument, ZoneConfig } from "./config_schema.ts";
import { getQuietSpans, mergeSpans, type TimeSpan } from "./quiet_hours.ts";

/** Time for which the quiet-hours spans of a zone are cached, in milliseconds. */
const SPAN_CACHE_LIFETIME_MS = 3_600_000;

/** Time at which an availability zone starts or stops taking new work. */
export interface ZoneChange {
  /** Time of the change in milliseconds since the epoch. */
  readonly atMs: number;
  /** Whether the zone takes new work after the change. */
  readonly takesNewWork: boolean;
}

/** Decides which availability zones take new work. */
export interface ZonePolicy {
  /**
   * Gets whether an availability zone takes new work now.
   *
   * @param zone - Name of the availability zone.
   */
  takesNewWork(zone: string): boolean;
  /**
   * Gets the next change due to quiet hours; undefined when there is none within about a week or the zone is taken out of service.
   *
   * @param zone - Name of the availability zone.
   */
  getNextChange(zone: string): ZoneChange | undefined;
}

interface CachedSpans {
  readonly document: ConfigDocument;
  readonly computedAtMs: number;
  readonly spans: readonly TimeSpan[];
}

/** Zone policy that follows the configuration document: a zone takes no new work while it is taken out of service or in quiet hours. */
export class ConfigZonePolicy implements ZonePolicy {
  readonly #configHolder: ConfigHolder;
  readonly #cachedSpansByZone = new Map<string, CachedSpans>();

  constructor(configHolder: ConfigHolder) {
    this.#configHolder = configHolder;
  }

  takesNewWork(zone: string): boolean {
    const config = this.#findZone(zone);
    const now = Date.now();
    return config !== undefined && !config.takenOut &&
      !this.#getQuietSpans(config).some((s) =>
        s.startMs <= now && now < s.endMs
      );
  }

  getNextChange(zone: string): ZoneChange | undefined {
    const config = this.#findZone(zone);
    if (config === undefined || config.takenOut) {
      return undefined;
    }
    const now = Date.now();
    const span = this.#getQuietSpans(config).find((s) => now < s.endMs);
    if (span === undefined) {
      return undefined;
    }
    return span.startMs > now
      ? { atMs: span.startMs, takesNewWork: false }
      : { atMs: span.endMs, takesNewWork: true };
  }

  #findZone(zone: string): ZoneConfig | undefined {
    const document = this.#configHolder.getCurrent()?.document;
    return document?.zones.find((z) => z.name === zone);
  }

  /** Gets the spans of the zone's quiet hours, extended by the clock-skew margin at both ends. */
  #getQuietSpans(zone: ZoneConfig): readonly TimeSpan[] {
    if (zone.quietHours.length === 0) {
      return [];
    }
    const { document } = this.#configHolder.getCurrentOrThrow();
    const now = Date.now();
    const cachedSpans = this.#cachedSpansByZone.get(zone.name);
    if (
      cachedSpans?.document === document &&
      Math.abs(now - cachedSpans.computedAtMs) < SPAN_CACHE_LIFETIME_MS
    ) {
      return cachedSpans.spans;
    }
    const marginMs = document.clockSkewMarginMs;
    const spans = mergeSpans(
      getQuietSpans(zone.quietHours, now).map((span) => ({
        startMs: span.startMs - marginMs,
        endMs: span.endMs + marginMs,
      })),
    );
    this.#cachedSpansByZone.set(zone.name, {
      document,
      computedAtMs: now,
      spans,
    });
    return spans;
  }
}

/**
 * Gets whether an availability zone takes new work now and does not stop doing so within the lead time.
 *
 * @param policy - Policy that decides which zones take new work.
 * @param options - Name of the zone and lead time in milliseconds.
 */
export function isZoneOpen(
  policy: ZonePolicy,
  options: { zone: string; leadMs: number },
): boolean {
  const nextChange = policy.getNextChange(options.zone);
  return policy.takesNewWork(options.zone) &&
    (nextChange === undefined || nextChange.takesNewWork ||
      nextChange.atMs - Date.now() > options.leadMs);
}
