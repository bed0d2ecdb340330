import type { ConfigDocument } from "./config_schema.ts";

/** Rule of the document that is broken. */
export interface ConfigFault {
  /** Path of the faulty value, for example `models.0.name`. */
  readonly path: string;
  /** Full sentence that says what is allowed. */
  readonly message: string;
}

/** Difference between two documents at one path. */
export interface ConfigChange {
  readonly path: string;
  readonly kind: "added" | "removed" | "changed";
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Result of offering a document for acceptance. */
export type AcceptResult =
  | {
    readonly outcome: "accepted";
    readonly version: number;
    /** Daemons on which the version is in force. */
    readonly inForce: readonly string[];
    /** Daemons that did not confirm the version in time. */
    readonly unconfirmed: readonly string[];
  }
  | {
    /** Another document was accepted first. */
    readonly outcome: "conflict";
    readonly currentVersion: number;
    /** Changes from the offered document to the current one. */
    readonly changes: readonly ConfigChange[];
  }
  | { readonly outcome: "invalid"; readonly faults: readonly ConfigFault[] }
  | {
    /** The store did not answer: `not-written` is certain, `unknown` is not. */
    readonly outcome: "not-written" | "unknown";
    readonly message: string;
  };

/** Result of checking a document without accepting it. */
export interface CheckResult {
  readonly faults: readonly ConfigFault[];
  /** Changes from the current document to the checked one. */
  readonly changes: readonly ConfigChange[];
  /** Version that the document was compared with. */
  readonly currentVersion: number;
}

/** Earlier version of the configuration. */
export interface ConfigHistoryEntry {
  readonly version: number;
  readonly acceptedAtMs: number;
  readonly operator: string;
  readonly document: ConfigDocument;
}
