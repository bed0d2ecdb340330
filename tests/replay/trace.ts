import { z } from "zod";

const headerSchema = z.strictObject({
  type: z.literal("header"),
  format: z.literal(1),
  deployment: z.string(),
  seed: z.number().int(),
  description: z.string(),
  zones: z.array(z.string()).min(1),
  daemons: z.number().int().min(1),
  vmsPerZone: z.number().int().min(1),
  groupSizeVms: z.number().int().min(1),
  slotsPerGroup: z.number().int().min(1),
  kvTokensPerGroup: z.number().int().min(1),
  coldSlots: z.number().int().min(1),
  warmAfterRequests: z.number().int().min(1),
  tokenIntervalMs: z.number().positive(),
  accounts: z.array(z.string()).min(1),
  durationMs: z.number().int().positive(),
});

const arrivalSchema = z.strictObject({
  type: z.literal("arrival"),
  atMs: z.number().nonnegative(),
  id: z.string(),
  kind: z.enum(["chat", "call"]),
  account: z.string(),
  daemon: z.number().int().nonnegative(),
  deadlineMs: z.number().positive(),
  promptTokens: z.number().int().nonnegative(),
  outputTokens: z.number().int().nonnegative(),
  /** Rate of a caller that reads slowly. */
  readTokensPerSecond: z.number().positive().optional(),
  /** Fingerprint of a request that crashes each group that runs it. */
  crashFingerprint: z.string().optional(),
});

const eventSchema = z.strictObject({
  type: z.literal("event"),
  atMs: z.number().nonnegative(),
  event: z.enum(["zone-taken-out", "zone-brought-back"]),
  zone: z.string(),
});

const faultSchema = z.strictObject({
  type: z.literal("fault"),
  atMs: z.number().nonnegative(),
  fault: z.enum(["member-lost", "member-back", "store-down", "store-up"]),
  /** VM of a member fault: its zone, and its number in the zone from 1. */
  zone: z.string().optional(),
  member: z.number().int().min(1).optional(),
});

const lineSchema = z.discriminatedUnion("type", [
  headerSchema,
  arrivalSchema,
  eventSchema,
  faultSchema,
]);

const expectedSchema = z.strictObject({
  /** Bounds on the attempts that start in a zone in a time, so that a replay without load does not pass. */
  zoneAttempts: z.array(z.strictObject({
    zone: z.string(),
    fromMs: z.number(),
    untilMs: z.number(),
    least: z.number().int(),
    most: z.number().int().optional(),
  })),
  /** Least number of requests that go on after the loss of their group. */
  leastResumed: z.number().int(),
  /** Groups that the crash requests of the trace take down. */
  crashes: z.strictObject({
    least: z.number().int(),
    most: z.number().int(),
  }),
  requests: z.record(
    z.string(),
    z.strictObject({
      outcomes: z.array(z.string()).min(1),
      latestEndMs: z.number().positive(),
      mostAttempts: z.number().int().min(0),
    }),
  ),
});

/** First line of a trace: deployment, seed and description. */
export type TraceHeader = z.infer<typeof headerSchema>;
/** Request that a trace contains. */
export type TraceArrival = z.infer<typeof arrivalSchema>;
/** Change by an operator. */
export type TraceEvent = z.infer<typeof eventSchema>;
/** Fault that a trace contains. */
export type TraceFault = z.infer<typeof faultSchema>;
/** Line of a trace after its header. */
export type TraceStep = TraceArrival | TraceEvent | TraceFault;
/** Stated outcomes of a trace's requests, by id. */
export type ExpectedOutcomes = z.infer<typeof expectedSchema>;

/** Recorded trace: the steps are in the order of their times. */
export interface Trace {
  readonly header: TraceHeader;
  readonly steps: readonly TraceStep[];
}

/**
 * Parses a trace.
 *
 * @param text - JSON lines, the header first.
 * @throws When a line is invalid or out of order.
 */
export function parseTrace(text: string): Trace {
  const lines = text.split("\n").filter((line) => line !== "")
    .map((line) => lineSchema.parse(JSON.parse(line)));
  const [header, ...steps] = lines;
  if (header?.type !== "header") {
    throw new Error("The first line of the trace is not a header");
  }
  let lastAtMs = 0;
  const checked = steps.map((step, index) => {
    if (step.type === "header" || step.atMs < lastAtMs) {
      throw new Error(`Line ${index + 2} of the trace is out of order`);
    }
    lastAtMs = step.atMs;
    return step;
  });
  return { header, steps: checked };
}

/** Formats a trace as JSON lines. */
export function formatTrace(trace: Trace): string {
  return [trace.header, ...trace.steps]
    .map((line) => `${JSON.stringify(line)}\n`).join("");
}

/**
 * Parses the stated outcomes of a trace.
 *
 * @param text - JSON document.
 */
export function parseExpected(text: string): ExpectedOutcomes {
  return expectedSchema.parse(JSON.parse(text));
}
