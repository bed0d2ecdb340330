import { z } from "zod";

/** Most entries that one message or the stored object carries. */
export const MAX_QUARANTINE_ENTRIES = 2_048;
/** Most requests of one loss; a group runs far fewer at once. */
const MAX_LOSS_MEMBERS = 2_048;
const fingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/);

const entrySchema = z.object({
  fingerprint: fingerprintSchema,
  /** Rises with each change; the higher one is in force. */
  revision: z.number().int().min(1),
  state: z.enum(["quarantined", "cleared"]),
  /** Age when the message was sent, in milliseconds. */
  ageMs: z.number().min(0),
});

const lossSchema = z.object({
  lossId: z.string().max(256),
  members: z.array(z.object({
    fingerprint: fingerprintSchema,
    /** Revision of the fingerprint's entry at the loss; a later clearance voids the loss for it. */
    revision: z.number().int().min(0),
  })).max(MAX_LOSS_MEMBERS),
  /** Whether the request ran alone on the group, as a suspect of an earlier loss. */
  alone: z.boolean(),
  ageMs: z.number().min(0),
});

/** Schema of quarantined requests and recent losses, as daemons exchange and store them. */
export const quarantineStateSchema = z.object({
  entries: z.array(entrySchema).max(MAX_QUARANTINE_ENTRIES),
  losses: z.array(lossSchema).max(MAX_QUARANTINE_ENTRIES),
});

/** Quarantined requests and recent losses. */
export type QuarantineState = z.infer<typeof quarantineStateSchema>;
/** Quarantined or cleared request. */
export type QuarantineEntry = QuarantineState["entries"][number];
/** Loss of a group with the requests that one or more daemons ran on it. */
export type QuarantineLoss = QuarantineState["losses"][number];
