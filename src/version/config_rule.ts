import type { ConfigDocument } from "./config_schema.ts";

/** Change of the configuration that is checked before it is accepted. */
export interface ConfigChange {
  /** Document to check. */
  readonly document: ConfigDocument;
  /** Document in force, or undefined when none has been accepted yet. */
  readonly current: ConfigDocument | undefined;
}

/** Fault for which a document is refused. */
export interface ConfigFault {
  /** Path of the faulty value, for example `models.0.name`. */
  readonly path: string;
  /** Full sentence that describes the fault. */
  readonly message: string;
}

/** Checks a change against one rule that the schema cannot express and returns its faults. */
export type ConfigRule = (change: ConfigChange) => readonly ConfigFault[];

/** Rules that a document has to satisfy besides the schema. */
export interface ConfigRules {
  /**
   * Checks a change.
   *
   * @param change - New document and the one in force.
   * @returns The faults; empty when the change is allowed.
   */
  checkChange(change: ConfigChange): readonly ConfigFault[];
}

/** Combines a list of rules and returns the faults of all of them. */
export class CompositeConfigRules implements ConfigRules {
  readonly #rules: readonly ConfigRule[];

  constructor(rules: readonly ConfigRule[]) {
    this.#rules = rules;
  }

  checkChange(change: ConfigChange): readonly ConfigFault[] {
    return this.#rules.flatMap((rule) => rule(change));
  }
}
