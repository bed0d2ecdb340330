import { z } from "zod";

const listenerSchema = z.strictObject({
  host: z.string().default("127.0.0.1").describe("IP address to listen on"),
  port: z.number().int().min(0).max(65_535).default(0).describe(
    "Port to listen on; 0 selects any free port",
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
    "Addresses of the daemons to exchange state with until the VM list is known, for example while the platform is unavailable at the start",
  ),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
  balancerLagMs: z.number().int().min(0).default(3_000).describe(
    "Time until the load balancer has noticed that the daemon is not ready",
  ),
  vmListLagMs: z.number().int().min(0).default(5_000).describe(
    "Maximum time after which a change appears in the platform's VM list",
  ),
  exchangeIntervalMs: z.number().int().min(10).default(1_000).describe(
    "Time between two exchanges with a peer",
  ),
  freshnessLimitMs: z.number().int().min(10).default(3_000).describe(
    "Age of the newest store confirmation of the configuration above which new work is refused, unless a majority of the daemons has the same configuration",
  ),
  statusIntervalMs: z.number().int().min(10).default(500).describe(
    "Time between two status requests to an engine",
  ),
  fullObservationDaemons: z.number().int().min(0).default(9).describe(
    "Maximum number of entry VMs with which every daemon requests the status of every engine in each interval; with more, only two daemons per group do",
  ),
  planIntervalMs: z.number().int().min(10).default(1_000).describe(
    "Time between two runs of the planner",
  ),
  leaseDurationMs: z.number().int().min(100).default(8_000).describe(
    "Time after which a planner's lease expires unless it is renewed",
  ),
  zoneLeaveLeadMs: z.number().int().min(0).default(600_000).describe(
    "Time before a quiet-hours window at which other zones start to load the groups of the zone",
  ),
  maxBodyBytes: z.number().int().min(1_024).default(4_194_304).describe(
    "Maximum size of the body of a caller's request",
  ),
  maxHeldBytes: z.number().int().min(65_536).default(134_217_728).describe(
    "Maximum number of bytes buffered for slow readers in the whole process",
  ),
  maxStreamHeldBytes: z.number().int().min(1_024).default(262_144).describe(
    "Maximum number of bytes buffered for one stream",
  ),
  firstTokenTimeoutMs: z.number().int().min(1).default(15_000).describe(
    "Time without a first token from the engine after which an attempt fails",
  ),
  nextTokenTimeoutMs: z.number().int().min(1).default(5_000).describe(
    "Time without another token from the engine after which an attempt fails",
  ),
  resumeTimeoutMs: z.number().int().min(0).default(10_000).describe(
    "Maximum time for which a stream that has started waits for capacity on another group",
  ),
  stalledCallerMs: z.number().int().min(1).default(30_000).describe(
    "Time without a read after which a slow caller is disconnected",
  ),
  quarantineExpiryMs: z.number().int().min(1).default(86_400_000).describe(
    "Time after which a quarantined request is accepted again",
  ),
  claimWaitMs: z.number().int().min(1).default(3_000).describe(
    "Maximum time to wait until the store confirms the claim of a non-repeatable call",
  ),
  claimRetentionMs: z.number().int().min(1_000).default(86_400_000).describe(
    "Time for which a claim and its response are kept",
  ),
  claimSweepIntervalMs: z.number().int().min(100).default(3_600_000).describe(
    "Interval at which claims past their retention are deleted",
  ),
  maxStoredAnswerBytes: z.number().int().min(0).max(262_144).default(16_384)
    .describe("Maximum size of a response body that is stored with its claim"),
  stopTimeoutMs: z.number().int().min(1).default(600_000).describe(
    "Time after which a planned stop aborts the requests that are still in flight",
  ),
  bodyTimeoutMs: z.number().int().min(100).default(30_000).describe(
    "Time within which a caller has to send a complete request",
  ),
  maxConnections: z.number().int().min(1).default(2_048).describe(
    "Maximum number of concurrent connections of callers",
  ),
  defaultDeadlineMs: z.number().int().min(1).default(120_000).describe(
    "Time within which a request that states no deadline has to complete",
  ),
});

/** Settings of one daemon, read from a file in JSON with comments. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
/** Settings before defaults are filled in. */
export type DaemonSettingsInput = z.input<typeof daemonSettingsSchema>;
