import type { ConfigHolder } from "./config_holder.ts";
import type { ConfigDocument, ZoneConfig } from "./config_schema.ts";
import { getQuietSpans, mergeSpans, type TimeSpan } from "./quiet_hours.ts";

/** Time for which computed windows are kept, in milliseconds. */
const SPAN_CACHE_LIFETIME_MS = 3_600_000;

/** Next time at which an availability zone starts or stops taking new work. */
export interface ZoneChange {
  /** Wall clock in milliseconds since the epoch. */
  readonly atMs: number;
  /** Whether the zone takes new work from then on. */
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
   * Gets the next change that quiet hours bring within about a week, or undefined when there is none.
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

/** Zone policy of the configuration document: take-out and quiet hours. */
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

  /** Gets the zone's windows, longer by the clock-skew margin at both ends. */
  #getQuietSpans(zone: ZoneConfig): readonly TimeSpan[] {
    if (zone.quietHours.length === 0) {
      return [];
    }
    const { document } = this.#configHolder.getCurrentOrThrow();
    const now = Date.now();
    const cached = this.#cachedSpansByZone.get(zone.name);
    if (
      cached?.document === document &&
      Math.abs(now - cached.computedAtMs) < SPAN_CACHE_LIFETIME_MS
    ) {
      return cached.spans;
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
 * Gets whether an availability zone takes new work now and for a time to come.
 *
 * @param policy - Policy of the configuration.
 * @param options - Zone, and the time ahead in milliseconds.
 */
export function isZoneOpen(
  policy: ZonePolicy,
  options: { zone: string; leadMs: number },
): boolean {
  const next = policy.getNextChange(options.zone);
  return policy.takesNewWork(options.zone) &&
    (next === undefined || next.takesNewWork ||
      next.atMs - Date.now() > options.leadMs);
}
