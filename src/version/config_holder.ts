import { EventEmitter } from "node:events";
import { getDefinedOrThrow } from "../shared/errors.ts";
import { getCanonicalDigest } from "./canonical_json.ts";
import type { VersionedConfig } from "./config_schema.ts";

/**
 * Result of comparing a configuration with the current one.
 *
 * - `newer`: it has a higher version.
 * - `same`: it has the same version and content.
 * - `reverted`: it has a lower version, for example after the store was restored from a backup.
 * - `conflicting`: it has the same version, but other content.
 */
export type ConfigRelation = "newer" | "same" | "reverted" | "conflicting";

/** Holds the newest accepted configuration, which is the one in force on this daemon; it is only replaced by a higher version. */
export class ConfigHolder {
  readonly #emitter = new EventEmitter<{ change: [VersionedConfig] }>();
  #currentConfig: VersionedConfig | undefined;
  #digest = "";

  /** Gets the newest configuration; undefined when none has been accepted yet. */
  getCurrent(): VersionedConfig | undefined {
    return this.#currentConfig;
  }

  /**
   * Gets the newest configuration.
   *
   * @throws {InvalidStateError} When no configuration has been accepted yet.
   */
  getCurrentOrThrow(): VersionedConfig {
    return getDefinedOrThrow(
      this.#currentConfig,
      () => "No configuration has been accepted yet",
    );
  }

  /** Gets the version of the newest configuration; 0 when none has been accepted yet. */
  getVersion(): number {
    return this.#currentConfig?.version ?? 0;
  }

  /** Gets the digest of the newest configuration; an empty string when none has been accepted yet. */
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
   * Replaces the current configuration if the given one has a higher version.
   *
   * @param config - Accepted configuration from the store or a peer.
   * @returns Whether the configuration was replaced.
   */
  offer(config: VersionedConfig): boolean {
    if (config.version <= this.getVersion()) {
      return false;
    }
    this.#digest = config.digest ?? getCanonicalDigest(config.document);
    this.#currentConfig = { ...config, digest: this.#digest };
    this.#emitter.emit("change", this.#currentConfig);
    return true;
  }

  /**
   * Registers a listener that is called after each change.
   *
   * @param listener - Receives the new configuration.
   */
  onChange(listener: (config: VersionedConfig) => void): void {
    this.#emitter.on("change", listener);
  }
}
