import { getHash32 } from "../shared/rendezvous_hash.ts";
import type { ConfigHolder } from "../version/config_holder.ts";

const AGE_STEPS = 30;
const AGE_RADIX = 36;
const NO_AGE = "z";
/** Number of daemons up to which the ages are always sent. Above it they are sent in an outage only, since they would be longer than the rest of the message. */
const MAX_DAEMONS_ALWAYS_REPORTED = 64;
/** Longest time that an accepting daemon takes from its announcement to the end of its write. */
export const PREPARED_EXPIRY_MS = 20_000;

/** Ages at which the listed daemons were heard with one configuration version. */
export interface AgreementReport {
  readonly configVersion: number;
  readonly configDigest: string;
  /** Hash of the sorted names of the listed daemons. */
  readonly listHash: number;
  /** One character for each listed daemon: its age in steps, or `z`. */
  readonly heard: string;
}

/** Options of the agreement table of one daemon. */
export interface AgreementTableOptions {
  readonly self: string;
  readonly limitMs: number;
  readonly configHolder: ConfigHolder;
  /** Gets the sorted names of the listed daemons, this one included. */
  readonly getListedNames: () => readonly string[];
}

/** Records which listed daemons were heard with the same configuration as this one, directly or through peers. */
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

  /** Gets whether a majority of the listed daemons, this one included, agrees within the limit. */
  hasMajority(): boolean {
    const names = this.#options.getListedNames();
    return this.isCountedInMajority() &&
      this.countAgreeingDaemons() * 2 > names.length;
  }

  /** Counts the listed daemons that agree within the limit, this one included. */
  countAgreeingDaemons(): number {
    const oldestMs = performance.now() - this.#options.limitMs;
    return this.#options.getListedNames().filter((name) =>
      name === this.#options.self
        ? this.isCountedInMajority()
        : (this.#agreedAtMs.get(name) ?? -Infinity) >= oldestMs
    ).length;
  }

  /** Gets whether this daemon may count for its version: it has one, and knows of no newer one. */
  isCountedInMajority(): boolean {
    const version = this.#options.configHolder.getVersion();
    const hasNewerPreparedVersion = this.#preparedVersion > version;
    return version > 0 && this.#newestKnownVersion <= version &&
      !hasNewerPreparedVersion;
  }

  /**
   * Records that another daemon has a version, which this one may lack.
   *
   * @param version - Version of the configuration.
   */
  recordKnownVersion(version: number): void {
    this.#newestKnownVersion = Math.max(this.#newestKnownVersion, version);
  }

  /**
   * Records that a version is about to be written. Until its outcome is known this daemon counts for no other version.
   *
   * @param version - Version that is about to be written.
   */
  recordPreparedVersion(version: number): void {
    this.#preparedVersion = Math.max(this.#preparedVersion, version);
    this.#preparedAtMs = performance.now();
  }

  /**
   * Records a confirmation of the store, which ends a preparation whose write would have been seen.
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
   * @param options - Whether the newest store confirmation is old, so that the ages may be needed.
   */
  getReport(options: { outage: boolean } = { outage: true }): AgreementReport {
    const { configHolder, self, getListedNames } = this.#options;
    const names = getListedNames();
    const reportedNames =
      options.outage || names.length <= MAX_DAEMONS_ALWAYS_REPORTED
        ? names
        : [];
    const heard = reportedNames.map((name) =>
      name === self
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
   * Merges a peer's report if it has the same configuration and the same list.
   *
   * @param report - Report of the peer.
   * @param requestedAtMs - Time at which the report was requested. Ages count from there, so that a late answer is never too young.
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
