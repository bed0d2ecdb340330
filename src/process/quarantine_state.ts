import { z } from "zod";

/** Maximum number of entries, and of losses, in one message or in the stored object. */
export const MAX_QUARANTINE_ENTRIES = 2_048;
/** Maximum number of requests recorded for one loss; a group runs far fewer at once. */
const MAX_LOSS_MEMBERS = 2_048;
const fingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/);

const entrySchema = z.object({
  fingerprint: fingerprintSchema,
  /** Increases with each change of the entry; the entry with the highest revision takes precedence. */
  revision: z.number().int().min(1),
  state: z.enum(["quarantined", "cleared"]),
  /** Age of the entry when the message was sent, in milliseconds. */
  ageMs: z.number().min(0),
});

const lossSchema = z.object({
  lossId: z.string().max(256),
  members: z.array(z.object({
    fingerprint: fingerprintSchema,
    /** Revision of the fingerprint's entry when the group was lost. The loss no longer counts for the fingerprint once its entry has a higher revision, for example after it was cleared. */
    revision: z.number().int().min(0),
  })).max(MAX_LOSS_MEMBERS),
  /** Whether the group ran only one request, a suspect of an earlier loss. */
  alone: z.boolean(),
  ageMs: z.number().min(0),
});

/** Schema of the quarantined requests and recent losses that daemons exchange and store. */
export const quarantineStateSchema = z.object({
  entries: z.array(entrySchema).max(MAX_QUARANTINE_ENTRIES),
  losses: z.array(lossSchema).max(MAX_QUARANTINE_ENTRIES),
});

/** Quarantined requests and recent losses. */
export type QuarantineState = z.infer<typeof quarantineStateSchema>;
/** Entry of a quarantined or cleared request. */
export type QuarantineEntry = QuarantineState["entries"][number];
/** Loss of a group, with the requests that daemons were running on it. */
export type QuarantineLoss = QuarantineState["losses"][number];
