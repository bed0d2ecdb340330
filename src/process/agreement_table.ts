import { getHash32 } from "../shared/rendezvous_hash.ts";
import type { ConfigHolder } from "../version/config_holder.ts";

const AGE_STEPS = 30;
const AGE_RADIX = 36;
const NEVER = "z";
/** Number of daemons up to which the ages are always sent. Above it they are sent in an outage only, since they would be longer than the rest of the message. */
const MAX_ALWAYS_REPORTED = 64;
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
  readonly #heardAtMs = new Map<string, number>();
  #hashedNames: readonly string[] = [];
  #listHash = 0;
  #newestHeardVersion = 0;
  #preparedVersion = 0;
  #preparedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: AgreementTableOptions) {
    this.#options = options;
    options.configHolder.onChange(() => this.#heardAtMs.clear());
  }

  /** Gets whether a majority of the listed daemons, this one included, agrees within the limit. */
  hasMajority(): boolean {
    const names = this.#options.getListedNames();
    return this.takesPart() &&
      this.countAgreeing() * 2 > names.length;
  }

  /** Counts the listed daemons that agree within the limit, this one included. */
  countAgreeing(): number {
    const oldestMs = performance.now() - this.#options.limitMs;
    return this.#options.getListedNames().filter((name) =>
      name === this.#options.self
        ? this.takesPart()
        : (this.#heardAtMs.get(name) ?? -Infinity) >= oldestMs
    ).length;
  }

  /** Gets whether this daemon may count for its version: it has one, and knows of no newer one. */
  takesPart(): boolean {
    const version = this.#options.configHolder.getVersion();
    const prepared = this.#preparedVersion > version;
    return version > 0 && this.#newestHeardVersion <= version && !prepared;
  }

  /**
   * Records that another daemon has a version, which this one may lack.
   *
   * @param version - Version of the configuration.
   */
  observeVersion(version: number): void {
    this.#newestHeardVersion = Math.max(this.#newestHeardVersion, version);
  }

  /**
   * Records that a version is about to be written. Until its outcome is known this daemon counts for no other version.
   *
   * @param version - Version that is about to be written.
   */
  recordPrepared(version: number): void {
    this.#preparedVersion = Math.max(this.#preparedVersion, version);
    this.#preparedAtMs = performance.now();
  }

  /**
   * Records a confirmation of the store, which ends a preparation whose write would have been seen.
   *
   * @param confirmedAtMs - Time of the confirmation, in milliseconds of `performance.now()`.
   */
  observeConfirmation(confirmedAtMs: number): void {
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
    const reported = options.outage || names.length <= MAX_ALWAYS_REPORTED
      ? names
      : [];
    const heard = reported.map((name) =>
      name === self
        ? (this.takesPart() ? "0" : NEVER)
        : this.#formatAge(this.#heardAtMs.get(name))
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
      if (step !== NEVER && step !== "") {
        const ageMs = parseInt(step, AGE_RADIX) * this.#stepMs;
        const heardAtMs = requestedAtMs - ageMs;
        const known = this.#heardAtMs.get(name) ?? -Infinity;
        this.#heardAtMs.set(name, Math.max(known, heardAtMs));
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

  #formatAge(heardAtMs: number | undefined): string {
    const ageMs = performance.now() - (heardAtMs ?? -Infinity);
    const steps = Math.ceil(ageMs / this.#stepMs);
    return steps <= AGE_STEPS ? steps.toString(AGE_RADIX) : NEVER;
  }
}

function isSameDigest(a: string, b: string): boolean {
  const length = Math.min(a.length, b.length);
  return length > 0 && a.slice(0, length) === b.slice(0, length);
}
