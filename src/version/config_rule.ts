import type { ConfigDocument } from "./config_schema.ts";

/** Change of the configuration that is checked before it is accepted. */
export interface ConfigChange {
  readonly document: ConfigDocument;
  /** Document in force, or undefined before the first one. */
  readonly current: ConfigDocument | undefined;
}

/** Fault that keeps a document from being accepted. */
export interface ConfigFault {
  /** Path of the faulty value, for example `models.0.name`. */
  readonly path: string;
  /** Full sentence that says what is allowed. */
  readonly message: string;
}

/** Rule beyond the schema; gives the faults of a change. */
export type ConfigRule = (change: ConfigChange) => readonly ConfigFault[];

/** Rules beyond the schema that a document has to satisfy. */
export interface ConfigRules {
  /**
   * Checks a change.
   *
   * @param change - New document and the one in force.
   * @returns The faults, none when the change is allowed.
   */
  checkChange(change: ConfigChange): readonly ConfigFault[];
}

/** Rules that are a list of functions. */
export class CompositeConfigRules implements ConfigRules {
  readonly #rules: readonly ConfigRule[];

  constructor(rules: readonly ConfigRule[]) {
    this.#rules = rules;
  }

  checkChange(change: ConfigChange): readonly ConfigFault[] {
    return this.#rules.flatMap((rule) => rule(change));
  }
}
