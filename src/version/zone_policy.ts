import type { ConfigHolder } from "./config_holder.ts";

/** Decides which availability zones take new work. */
export interface ZonePolicy {
  /**
   * Gets whether an availability zone takes new work now.
   *
   * @param zone - Name of the availability zone.
   */
  takesNewWork(zone: string): boolean;
}

/** Zone policy of the configuration document. */
export class ConfigZonePolicy implements ZonePolicy {
  readonly #configHolder: ConfigHolder;

  constructor(configHolder: ConfigHolder) {
    this.#configHolder = configHolder;
  }

  takesNewWork(zone: string): boolean {
    const document = this.#configHolder.getCurrent()?.document;
    const config = document?.zones.find((z) => z.name === zone);
    return config !== undefined && !config.takenOut;
  }
}
