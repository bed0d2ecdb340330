import type { Logger } from "../../shared/logger.ts";
import type { ExcludedZonesNotice } from "../../connection/peer_notice.ts";

/** Zones that take no requests, as of the newest revision that the store or a peer told. */
export class ExcludedZones {
  readonly #logger: Logger;
  readonly #onChange: (zones: ReadonlySet<string>) => void;
  #revision = 0;
  #zones: ReadonlySet<string> = new Set();

  constructor(options: {
    logger: Logger;
    onChange: (zones: ReadonlySet<string>) => void;
  }) {
    this.#logger = options.logger;
    this.#onChange = options.onChange;
  }

  /** Gets the zones. */
  getZones(): ReadonlySet<string> {
    return this.#zones;
  }

  /** Gets the zones and their revision for a peer. */
  getNotice(): ExcludedZonesNotice {
    return { revision: this.#revision, zones: [...this.#zones] };
  }

  /**
   * Takes the zones if their revision is newer.
   *
   * @param notice - All zones that take no requests at a revision.
   * @param source - Where they were learned.
   */
  applyNotice(notice: ExcludedZonesNotice, source: string): void {
    if (notice.revision <= this.#revision) {
      return;
    }
    this.#revision = notice.revision;
    const zones = new Set(notice.zones);
    const isUnchanged = zones.size === this.#zones.size &&
      notice.zones.every((zone) => this.#zones.has(zone));
    if (isUnchanged) {
      return;
    }
    this.#zones = zones;
    this.#logger.write("info", "zones-excluded", {
      zones: notice.zones.join(","),
      revision: notice.revision,
      source,
    });
    this.#onChange(zones);
  }
}
