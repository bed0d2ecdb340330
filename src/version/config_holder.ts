import { EventEmitter } from "node:events";
import { getDefinedOrThrow } from "../shared/errors.ts";
import type { VersionedConfig } from "./config_schema.ts";

/** Holds the newest accepted configuration. Its version only rises. */
export class ConfigHolder {
  readonly #emitter = new EventEmitter<{ change: [VersionedConfig] }>();
  #current: VersionedConfig | undefined;

  /** Gets the newest configuration, or undefined before the first one. */
  getCurrent(): VersionedConfig | undefined {
    return this.#current;
  }

  /**
   * Gets the newest configuration.
   *
   * @throws {InvalidStateError} When no configuration was accepted yet.
   */
  getCurrentOrThrow(): VersionedConfig {
    return getDefinedOrThrow(
      this.#current,
      () => "No configuration has been accepted yet",
    );
  }

  /** Gets the version of the newest configuration, or 0 before the first one. */
  getVersion(): number {
    return this.#current?.version ?? 0;
  }

  /**
   * Takes a configuration over if it is newer than the current one.
   *
   * @param config - Accepted configuration from the store or a peer.
   * @returns Whether it was taken over.
   */
  offer(config: VersionedConfig): boolean {
    if (config.version <= this.getVersion()) {
      return false;
    }
    this.#current = config;
    this.#emitter.emit("change", config);
    return true;
  }

  /**
   * Calls a function after each change.
   *
   * @param listener - Gets the new configuration.
   */
  onChange(listener: (config: VersionedConfig) => void): void {
    this.#emitter.on("change", listener);
  }
}
