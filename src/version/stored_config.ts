import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { StoredObject } from "../connection/object_store.ts";
import { getCanonicalDigest } from "./canonical_json.ts";
import { configSchema, type VersionedConfig } from "./config_schema.ts";

const envelopeSchema = z.strictObject({
  version: z.number().int().min(1),
  digest: z.string(),
  acceptId: z.string(),
  acceptedAt: z.string(),
  operator: z.string().default(""),
  document: z.unknown(),
});

/** Value of the objects `config/main` and `config-history/<version>`. */
export type ConfigEnvelope = z.infer<typeof envelopeSchema>;

/** Configuration that was read from the store. */
export interface StoredConfig extends VersionedConfig {
  readonly digest: string;
  /** Random id of the acceptance; absent when the document was stored without an envelope. */
  readonly acceptId?: string;
  /** Time of the acceptance in ISO 8601 format; empty when unknown. */
  readonly acceptedAt: string;
  /** Name of the operator who submitted the document; empty when unknown. */
  readonly operator: string;
}

/**
 * Parses a stored configuration. A document without an envelope, as an initial set-up writes it, takes the version of its object.
 *
 * @param object - Object `config/main` or `config-history/<version>`.
 * @returns The configuration, or a message that says why it is invalid.
 * @example
 * ```ts
 * parseStoredConfig(object).ifRight((config) => holder.offer(config));
 * ```
 */
export function parseStoredConfig(
  object: StoredObject,
): Either<string, StoredConfig> {
  const envelope = envelopeSchema.safeParse(object.value);
  const rawDocument = envelope.success ? envelope.data.document : object.value;
  const digest = getCanonicalDigest(rawDocument);
  if (envelope.success && envelope.data.digest !== digest) {
    return Left(
      "The digest of the stored configuration does not match its document",
    );
  }
  const document = configSchema.safeParse(rawDocument);
  if (!document.success) {
    return Left(
      `The stored configuration is invalid: ${document.error.message}`,
    );
  }
  return Right({
    version: envelope.success ? envelope.data.version : object.version,
    digest,
    document: document.data,
    acceptId: envelope.success ? envelope.data.acceptId : undefined,
    acceptedAt: envelope.success ? envelope.data.acceptedAt : "",
    operator: envelope.success ? envelope.data.operator : "",
  });
}
