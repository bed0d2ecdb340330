import { z } from "zod";

const listenerSchema = z.strictObject({
  host: z.string().default("127.0.0.1").describe("IP number to listen on"),
  port: z.number().int().min(0).max(65_535).default(0).describe(
    "Port, or 0 for any free one",
  ),
});

export const daemonSettingsSchema = z.strictObject({
  name: z.string().min(1).describe("Name of the entry VM"),
  zone: z.string().min(1).describe("Availability zone of the entry VM"),
  platformUrl: z.url().describe("Base URL of the platform's API"),
  caller: listenerSchema.prefault({}).describe("Listener for callers"),
  peer: listenerSchema.prefault({}).describe("Listener for other daemons"),
  operator: listenerSchema.prefault({}).describe("Listener for operators"),
  peers: z.array(z.string()).default([]).describe(
    "Peer addresses to ask when the platform does not answer at the start",
  ),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
  balancerLagMs: z.number().int().min(0).default(3_000).describe(
    "Time in which the balancer notices that the daemon is not ready",
  ),
  vmListLagMs: z.number().int().min(0).default(5_000).describe(
    "Longest lag of the platform's VM list",
  ),
  exchangeIntervalMs: z.number().int().min(10).default(1_000).describe(
    "Time between two exchanges with a peer",
  ),
  freshnessLimitMs: z.number().int().min(10).default(3_000).describe(
    "Age of the newest store confirmation above which new work is refused",
  ),
  statusIntervalMs: z.number().int().min(10).default(500).describe(
    "Time between two status requests to an engine",
  ),
  fullObservationDaemons: z.number().int().min(0).default(9).describe(
    "Number of entry VMs up to which every daemon requests every engine's status in each interval; above it only the first two homes of a group do",
  ),
  planIntervalMs: z.number().int().min(10).default(1_000).describe(
    "Time between two runs of the planner",
  ),
  leaseDurationMs: z.number().int().min(100).default(8_000).describe(
    "Time after which an unrenewed lease of a planner lapses",
  ),
  zoneLeaveLeadMs: z.number().int().min(0).default(600_000).describe(
    "Time before a quiet-hours window from which other zones load the groups of the leaving zone",
  ),
  maxBodyBytes: z.number().int().min(1_024).default(4_194_304).describe(
    "Largest body of a caller's request",
  ),
  maxHeldBytes: z.number().int().min(65_536).default(134_217_728).describe(
    "Bytes held for slow readers in the whole process",
  ),
  maxStreamHeldBytes: z.number().int().min(1_024).default(262_144).describe(
    "Bytes held for one stream",
  ),
  firstTokenTimeoutMs: z.number().int().min(1).default(15_000).describe(
    "Silence of an engine before the first token after which an attempt fails",
  ),
  nextTokenTimeoutMs: z.number().int().min(1).default(5_000).describe(
    "Silence of an engine between two tokens after which an attempt fails",
  ),
  resumeTimeoutMs: z.number().int().min(0).default(10_000).describe(
    "Time for which a response that has begun waits for capacity on another group",
  ),
  stalledCallerMs: z.number().int().min(1).default(30_000).describe(
    "Time after which a caller that reads nothing is disconnected",
  ),
  quarantineExpiryMs: z.number().int().min(1).default(86_400_000).describe(
    "Time after which a quarantined request is accepted again",
  ),
  claimWaitMs: z.number().int().min(1).default(3_000).describe(
    "Longest wait for the claim of a non-repeatable call",
  ),
  claimRetentionMs: z.number().int().min(1_000).default(86_400_000).describe(
    "Time for which a claim and its answer are kept",
  ),
  claimSweepIntervalMs: z.number().int().min(100).default(3_600_000).describe(
    "Time between two deletions of claims past their retention",
  ),
  maxStoredAnswerBytes: z.number().int().min(0).max(262_144).default(16_384)
    .describe("Largest answer that is stored with its claim"),
  stopTimeoutMs: z.number().int().min(1).default(600_000).describe(
    "Time after which a planned stop ends the requests that still run",
  ),
  bodyTimeoutMs: z.number().int().min(100).default(30_000).describe(
    "Time in which a caller has to send a whole request",
  ),
  maxConnections: z.number().int().min(1).default(2_048).describe(
    "Connections of callers at the same time",
  ),
  defaultDeadlineMs: z.number().int().min(1).default(120_000).describe(
    "Deadline of a request that states none",
  ),
});

/** Settings of one daemon, read from a file in JSON with comments. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
/** Settings before defaults are filled in. */
export type DaemonSettingsInput = z.input<typeof daemonSettingsSchema>;
