import { z } from "zod";

const contentPartSchema = z.object({
  type: z.literal("text"),
  text: z.string(),
});

const messageSchema = z.object({
  role: z.enum(["system", "user", "assistant", "tool", "developer"]),
  content: z.union([z.string(), z.array(contentPartSchema)]),
});

/** Schema of the body of a chat completions request. Unknown fields are ignored, since existing clients may send them. */
export const chatRequestSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().default(false) })
    .nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
  n: z.literal(1).nullish(),
});

/** Validated body of a chat-completions request. */
export type ChatRequestBody = z.infer<typeof chatRequestSchema>;
