import { z } from "zod";

/** Maximum number of crashes, and of successes, in one message; above what `PromptPartQuarantine` stores. */
const MAX_PART_ENTRIES = 20_000;
/** Maximum number of parts of one request. */
const MAX_PARTS = 64;
/** Maximum length of the id of a part, in characters. */
const MAX_PART_LENGTH = 128;
/** Maximum length of the key of a group, in characters; the maximum of a loss id. */
const MAX_GROUP_KEY_LENGTH = 256;

const partSchema = z.string().min(1).max(MAX_PART_LENGTH);
const groupKeySchema = z.string().min(1).max(MAX_GROUP_KEY_LENGTH);

/** Schema of the suspected prompt parts that daemons exchange. */
export const promptPartStateSchema = z.object({
  crashes: z.array(z.object({
    groupKey: groupKeySchema,
    parts: z.array(partSchema).max(MAX_PARTS),
    /** Age of the crash when the message was sent, in milliseconds. */
    ageMs: z.number().min(0),
  })).max(MAX_PART_ENTRIES),
  successes: z.array(z.object({
    groupKey: groupKeySchema,
    part: partSchema,
    time: z.enum(["before", "after"]),
  })).max(MAX_PART_ENTRIES),
});

/** Crashes of groups with the suspected prompt parts, and successes of these parts. */
export type PromptPartState = z.infer<typeof promptPartStateSchema>;
