import { EventEmitter } from "node:events";
import { getDefinedOrThrow } from "../shared/errors.ts";
import { getCanonicalDigest } from "./canonical_json.ts";
import type { VersionedConfig } from "./config_schema.ts";

/**
 * How an offered configuration relates to the current one.
 *
 * - `reverted`: an older version, as after a restore of the store.
 * - `conflicting`: the same version with other content.
 */
export type ConfigRelation = "newer" | "same" | "reverted" | "conflicting";

/** Holds the newest accepted configuration. Its version only rises. */
export class ConfigHolder {
  readonly #emitter = new EventEmitter<{ change: [VersionedConfig] }>();
  #current: VersionedConfig | undefined;
  #digest = "";

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

  /** Gets the digest of the newest configuration, or an empty text before the first one. */
  getDigest(): string {
    return this.#digest;
  }

  /**
   * Compares a configuration with the current one.
   *
   * @param config - Version and digest of the other configuration.
   */
  compare(config: { version: number; digest: string }): ConfigRelation {
    if (config.version !== this.getVersion()) {
      return config.version > this.getVersion() ? "newer" : "reverted";
    }
    return this.#digest === config.digest ? "same" : "conflicting";
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
    this.#digest = config.digest ?? getCanonicalDigest(config.document);
    this.#current = { ...config, digest: this.#digest };
    this.#emitter.emit("change", this.#current);
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
