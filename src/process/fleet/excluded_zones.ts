import { getGeneration } from "../../connection/object_store.ts";
import type { Logger } from "../../shared/logger.ts";
import type { ExcludedZonesNotice } from "../../connection/peer_notice.ts";

/** Time after a restore of the store within which operators have written again the exclusions that it lost, in milliseconds. */
const REWRITE_GRACE_MS = 10_000;

/** Zones that get no requests, as of the newest revision received from the store or a peer. */
export class ExcludedZones {
  readonly #logger: Logger;
  readonly #onChange: (zones: ReadonlySet<string>) => void;
  #revision = 0;
  /** Zones that are excluded as of the revision. */
  #storedZones: readonly string[] = [];
  /** Timers of the zones that stay excluded although a restored store no longer contains them. */
  readonly #retainedZones = new Map<string, NodeJS.Timeout>();
  #zones: ReadonlySet<string> = new Set();

  constructor(options: {
    logger: Logger;
    onChange: (zones: ReadonlySet<string>) => void;
  }) {
    this.#logger = options.logger;
    this.#onChange = options.onChange;
  }

  /** Gets the excluded zones. */
  getZones(): ReadonlySet<string> {
    return this.#zones;
  }

  /** Gets the excluded zones and their revision, to be sent to a peer. */
  getNotice(): ExcludedZonesNotice {
    return { revision: this.#revision, zones: this.#storedZones };
  }

  /**
   * Replaces the excluded zones if the notice has a newer revision. Zones that a restore of the store has removed stay excluded for a grace period.
   *
   * @param notice - All excluded zones as of a revision.
   * @param source - Sender of the notice, for the log.
   * @returns Whether the set of excluded zones has changed.
   */
  applyNotice(notice: ExcludedZonesNotice, source: string): boolean {
    if (notice.revision <= this.#revision) {
      return false;
    }
    const isRestored = this.#revision > 0 &&
      getGeneration(notice.revision) > getGeneration(this.#revision);
    this.#revision = notice.revision;
    this.#storedZones = [...notice.zones];
    this.#storedZones.forEach((zone) => this.#releaseZone(zone));
    if (isRestored) {
      this.#retainMissingZones();
    }
    return this.#updateZones(source);
  }

  #retainMissingZones(): void {
    for (const zone of this.#zones) {
      if (!this.#storedZones.includes(zone)) {
        this.#releaseZone(zone);
        const timer = setTimeout(() => {
          this.#releaseZone(zone);
          this.#updateZones("not excluded again after a restore of the store");
        }, REWRITE_GRACE_MS).unref();
        this.#retainedZones.set(zone, timer);
      }
    }
  }

  #releaseZone(zone: string): void {
    clearTimeout(this.#retainedZones.get(zone));
    this.#retainedZones.delete(zone);
  }

  /** Combines the stored and the retained zones. Returns whether the set has changed. */
  #updateZones(source: string): boolean {
    const zones = new Set([
      ...this.#storedZones,
      ...this.#retainedZones.keys(),
    ]);
    const isUnchanged = zones.size === this.#zones.size &&
      [...zones].every((zone) => this.#zones.has(zone));
    if (isUnchanged) {
      return false;
    }
    this.#zones = zones;
    this.#logger.write("info", "zones-excluded", {
      zones: [...zones].join(","),
      revision: this.#revision,
      source,
    });
    this.#onChange(zones);
    return true;
  }
}
