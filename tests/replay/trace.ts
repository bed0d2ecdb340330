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
  /** Read rate of a slow caller. Without it the caller reads as fast as tokens arrive. */
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
  /** Zone of the VM of a member fault, and the VM's number in the zone from 1. */
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
  /** Bounds on the number of attempts that start in a zone during a period, so that a replay without load fails. */
  zoneAttempts: z.array(z.strictObject({
    zone: z.string(),
    fromMs: z.number(),
    untilMs: z.number(),
    least: z.number().int(),
    most: z.number().int().optional(),
  })),
  /** Least number of requests that are resumed on another group and finish. */
  leastResumed: z.number().int(),
  /** Bounds on the number of groups that the crash requests of the trace take down. */
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
/** Change that an operator makes. */
export type TraceEvent = z.infer<typeof eventSchema>;
/** Fault that a trace contains. */
export type TraceFault = z.infer<typeof faultSchema>;
/** Line of a trace after its header. */
export type TraceStep = TraceArrival | TraceEvent | TraceFault;
/** Expected outcomes of a trace's requests, by request id, and bounds on its load and faults. */
export type ExpectedOutcomes = z.infer<typeof expectedSchema>;

/** Recorded trace. The steps are sorted by time. */
export interface Trace {
  readonly header: TraceHeader;
  readonly steps: readonly TraceStep[];
}

/**
 * Parses a trace.
 *
 * @param text - JSON lines, the header first.
 * @throws When a line is invalid, a step is out of order or the header is missing.
 */
export function parseTrace(text: string): Trace {
  const lines = text.split("\n").filter((line) => line !== "")
    .map((line) => lineSchema.parse(JSON.parse(line)));
  const [header, ...steps] = lines;
  if (header?.type !== "header") {
    throw new Error("The first line of the trace is not a header");
  }
  let lastAtMs = 0;
  const orderedSteps = steps.map((step, index) => {
    if (step.type === "header" || step.atMs < lastAtMs) {
      throw new Error(`Line ${index + 2} of the trace is out of order`);
    }
    lastAtMs = step.atMs;
    return step;
  });
  return { header, steps: orderedSteps };
}

/** Formats a trace as JSON lines. */
export function formatTrace(trace: Trace): string {
  return [trace.header, ...trace.steps]
    .map((line) => `${JSON.stringify(line)}\n`).join("");
}

/**
 * Parses the expected outcomes of a trace.
 *
 * @param text - JSON document.
 */
export function parseExpected(text: string): ExpectedOutcomes {
  return expectedSchema.parse(JSON.parse(text));
}
