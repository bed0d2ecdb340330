import type { Logger } from "../../shared/logger.ts";
import type { ExcludedZonesNotice } from "../../connection/peer_notice.ts";

/** Zones that get no requests, as of the newest revision received from the store or a peer. */
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

  /** Gets the excluded zones. */
  getZones(): ReadonlySet<string> {
    return this.#zones;
  }

  /** Gets the excluded zones and their revision, to be sent to a peer. */
  getNotice(): ExcludedZonesNotice {
    return { revision: this.#revision, zones: [...this.#zones] };
  }

  /**
   * Replaces the excluded zones if the notice has a newer revision.
   *
   * @param notice - All excluded zones as of a revision.
   * @param source - Sender of the notice, for the log.
   * @returns Whether the set of excluded zones has changed.
   */
  applyNotice(notice: ExcludedZonesNotice, source: string): boolean {
    if (notice.revision <= this.#revision) {
      return false;
    }
    this.#revision = notice.revision;
    const zones = new Set(notice.zones);
    const isUnchanged = zones.size === this.#zones.size &&
      notice.zones.every((zone) => this.#zones.has(zone));
    if (isUnchanged) {
      return false;
    }
    this.#zones = zones;
    this.#logger.write("info", "zones-excluded", {
      zones: notice.zones.join(","),
      revision: notice.revision,
      source,
    });
    this.#onChange(zones);
    return true;
  }
}
