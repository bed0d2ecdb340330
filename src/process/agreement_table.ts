import { getHash32 } from "../shared/rendezvous_hash.ts";
import type { ConfigHolder } from "../version/config_holder.ts";

/** Number of steps into which the limit is divided to encode an age. */
const AGE_STEPS = 30;
/** Radix in which the steps of an age are encoded as one character. */
const AGE_RADIX = 36;
/** Character for a daemon without a report within the limit. */
const NO_AGE = "z";
/** Maximum number of listed daemons for which the ages are always sent. With more daemons, they are sent only during a store outage, because they would be longer than the rest of the message. */
const MAX_DAEMONS_ALWAYS_REPORTED = 64;
/** Maximum time from a daemon's announcement of a new configuration version to the end of its write to the store, in milliseconds. */
export const PREPARED_EXPIRY_MS = 20_000;

/** Report in which a daemon states which listed daemons had the same configuration as itself, and how long ago. */
export interface AgreementReport {
  readonly configVersion: number;
  readonly configDigest: string;
  /** Hash of the sorted names of the listed daemons. */
  readonly listHash: number;
  /** One character for each listed daemon in the order of their names: the age of its newest known report of this configuration, in steps of 1/30 of the limit as a base 36 digit, or `z` if there is none within the limit. Empty if the ages are not sent. */
  readonly heard: string;
}

/** Options of the agreement table of one daemon. */
export interface AgreementTableOptions {
  /** Name of this daemon. */
  readonly ownName: string;
  /** Age above which another daemon's report of its configuration no longer counts, in milliseconds. */
  readonly limitMs: number;
  readonly configHolder: ConfigHolder;
  /** Gets the sorted names of the listed daemons, this one included. */
  readonly getListedNames: () => readonly string[];
}

/** Records which listed daemons reported the same configuration as this daemon's, directly or through peers. */
export class AgreementTable {
  readonly #options: AgreementTableOptions;
  readonly #agreedAtMs = new Map<string, number>();
  #hashedNames: readonly string[] = [];
  #listHash = 0;
  #newestKnownVersion = 0;
  #preparedVersion = 0;
  #preparedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: AgreementTableOptions) {
    this.#options = options;
    options.configHolder.onChange(() => this.#agreedAtMs.clear());
  }

  /** Gets whether a majority of the listed daemons, this one included, has reported this daemon's configuration within the limit. */
  hasMajority(): boolean {
    const names = this.#options.getListedNames();
    return this.isCountedInMajority() &&
      this.countAgreeingDaemons() * 2 > names.length;
  }

  /** Counts the listed daemons, this one included, that have reported this daemon's configuration within the limit. */
  countAgreeingDaemons(): number {
    const oldestMs = performance.now() - this.#options.limitMs;
    return this.#options.getListedNames().filter((name) =>
      name === this.#options.ownName
        ? this.isCountedInMajority()
        : (this.#agreedAtMs.get(name) ?? -Infinity) >= oldestMs
    ).length;
  }

  /** Gets whether this daemon itself counts toward a majority for its configuration: it has one, and no newer version is known or prepared. */
  isCountedInMajority(): boolean {
    const version = this.#options.configHolder.getVersion();
    const hasNewerPreparedVersion = this.#preparedVersion > version;
    return version > 0 && this.#newestKnownVersion <= version &&
      !hasNewerPreparedVersion;
  }

  /**
   * Records that a configuration version is in force on another daemon. This daemon may not have it yet.
   *
   * @param version - Version of the configuration.
   */
  recordKnownVersion(version: number): void {
    this.#newestKnownVersion = Math.max(this.#newestKnownVersion, version);
  }

  /**
   * Records that a version is about to be written to the store. Until the result of the write is known, this daemon counts toward no majority for an older version.
   *
   * @param version - Version that is about to be written.
   */
  recordPreparedVersion(version: number): void {
    this.#preparedVersion = Math.max(this.#preparedVersion, version);
    this.#preparedAtMs = performance.now();
  }

  /**
   * Records a store confirmation of the version in force. It ends the preparation of a newer version if the write must have ended before the confirmation.
   *
   * @param confirmedAtMs - Time of the confirmation, in milliseconds of `performance.now()`.
   */
  recordConfirmation(confirmedAtMs: number): void {
    if (confirmedAtMs > this.#preparedAtMs + PREPARED_EXPIRY_MS) {
      this.#preparedVersion = 0;
    }
  }

  /**
   * Gets the report that is sent to peers.
   *
   * @param options - Whether the newest store confirmation is so old that peers may need the ages.
   */
  getReport(
    options: { isConfirmationOld: boolean } = { isConfirmationOld: true },
  ): AgreementReport {
    const { configHolder, ownName, getListedNames } = this.#options;
    const names = getListedNames();
    const reportedNames =
      options.isConfirmationOld || names.length <= MAX_DAEMONS_ALWAYS_REPORTED
        ? names
        : [];
    const heard = reportedNames.map((name) =>
      name === ownName
        ? (this.isCountedInMajority() ? "0" : NO_AGE)
        : this.#formatAge(this.#agreedAtMs.get(name))
    );
    return {
      configVersion: configHolder.getVersion(),
      configDigest: configHolder.getDigest(),
      listHash: this.#getListHash(names),
      heard: heard.join(""),
    };
  }

  /**
   * Merges a peer's report if the peer has the same configuration and the same list of daemons.
   *
   * @param report - Report of the peer.
   * @param requestedAtMs - Time at which the report was requested, in milliseconds of `performance.now()`. Ages are counted from it, so that a late response doesn't make them too low.
   */
  mergeReport(report: AgreementReport, requestedAtMs: number): void {
    const { configHolder, getListedNames } = this.#options;
    const names = getListedNames();
    if (
      report.configVersion !== configHolder.getVersion() ||
      !isSameDigest(report.configDigest, configHolder.getDigest()) ||
      report.listHash !== this.#getListHash(names)
    ) {
      return;
    }
    names.forEach((name, index) => {
      const step = report.heard.charAt(index);
      if (step !== NO_AGE && step !== "") {
        const ageMs = parseInt(step, AGE_RADIX) * this.#stepMs;
        const agreedAtMs = requestedAtMs - ageMs;
        const knownMs = this.#agreedAtMs.get(name) ?? -Infinity;
        this.#agreedAtMs.set(name, Math.max(knownMs, agreedAtMs));
      }
    });
  }

  #getListHash(names: readonly string[]): number {
    if (names !== this.#hashedNames) {
      this.#hashedNames = names;
      this.#listHash = getHash32(names.join("|"));
    }
    return this.#listHash;
  }

  get #stepMs(): number {
    return this.#options.limitMs / AGE_STEPS;
  }

  #formatAge(agreedAtMs: number | undefined): string {
    const ageMs = performance.now() - (agreedAtMs ?? -Infinity);
    const steps = Math.ceil(ageMs / this.#stepMs);
    return steps <= AGE_STEPS ? steps.toString(AGE_RADIX) : NO_AGE;
  }
}

function isSameDigest(a: string, b: string): boolean {
  const length = Math.min(a.length, b.length);
  return length > 0 && a.slice(0, length) === b.slice(0, length);
}
