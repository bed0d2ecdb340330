import { z } from "zod";

const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const TIME_OF_DAY_PATTERN = /^([01]\d|2[0-3]):[0-5]\d$/;

const nameSchema = z.string().regex(NAME_PATTERN).describe(
  "Name of lower-case letters, digits, dots and dashes, at most 63 characters",
);

/** Weekdays, Monday first, on which a quiet-hours window may start. */
export const WEEKDAYS = [
  "monday",
  "tuesday",
  "wednesday",
  "thursday",
  "friday",
  "saturday",
  "sunday",
] as const;

export const quietHoursSchema = z.strictObject({
  timeZone: z.string().describe("IANA time zone, for example Asia/Tokyo"),
  weekdays: z.array(z.enum(WEEKDAYS)).min(1).describe(
    "Weekdays on which the window starts",
  ),
  from: z.string().regex(TIME_OF_DAY_PATTERN).describe(
    "Start of the window as HH:MM in the time zone",
  ),
  to: z.string().regex(TIME_OF_DAY_PATTERN).describe(
    "End of the window as HH:MM in the time zone; earlier than `from` means the next day",
  ),
});

export const zoneSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
  takenOut: z.boolean().default(false).describe(
    "Takes the availability zone out of service at once",
  ),
  quietHours: z.array(quietHoursSchema).default([]).describe(
    "Windows in which the availability zone takes no work",
  ),
});

export const groupPlacementSchema = z.strictObject({
  zones: z.array(nameSchema).min(1).describe(
    "Availability zones in which the groups may run",
  ),
  fabricDomains: z.array(nameSchema).optional().describe(
    "Fabric domains in which the groups may run; all of the zones when left out",
  ),
  count: z.number().int().min(0).max(10_000).describe(
    "Number of complete groups",
  ),
});

export const modelSchema = z.strictObject({
  name: nameSchema,
  version: z.string().min(1).default("1"),
  adapters: z.array(nameSchema).default([]),
  groupSizeVms: z.number().int().min(1).max(64).describe(
    "Number of VMs that one complete group spans",
  ),
  placements: z.array(groupPlacementSchema).min(1),
  contextTokens: z.number().int().min(1).default(8_192).describe(
    "Maximum number of tokens of prompt and output together",
  ),
  defaultOutputTokens: z.number().int().min(1).default(512).describe(
    "Output limit of a request that states none, in tokens",
  ),
  slotsPerGroup: z.number().int().min(1).describe(
    "Maximum number of concurrent requests of a warm group",
  ),
  kvTokensPerGroup: z.number().int().min(1).describe(
    "KV cache memory of a group, in tokens",
  ),
  coldSlots: z.number().int().min(1).default(1).describe(
    "Maximum number of concurrent requests of a group just after its start",
  ),
  warmAfterRequests: z.number().int().min(1).default(16).describe(
    "Number of finished requests after which a started group takes its full load",
  ),
  honoursFencing: z.boolean().default(false).describe(
    "Whether the engines refuse an order whose generation is lower than that of an earlier order",
  ),
});

export const nonRepeatableCallSchema = z.strictObject({
  method: z.enum(["POST", "PUT", "PATCH", "DELETE", "GET"]),
  path: z.string().startsWith("/").describe(
    "Path below the service; a trailing * matches any rest",
  ),
});

export const serviceBackendSchema = z.strictObject({
  address: z.string().regex(/^[0-9a-fA-F.:[\]]+:\d+$/).describe(
    "IP address and port, for example 10.0.0.7:8080",
  ),
  zone: nameSchema,
});

export const serviceSchema = z.strictObject({
  name: nameSchema,
  backends: z.array(serviceBackendSchema).min(1),
  nonRepeatable: z.array(nonRepeatableCallSchema).default([]).describe(
    "Calls that run at most once",
  ),
  claimOutage: z.enum(["refuse", "first-attempt-only"]).default("refuse")
    .describe(
      "What happens to a non-repeatable call while no claim can be written",
    ),
  timeoutMs: z.number().int().min(1).max(600_000).default(10_000),
  maxConcurrent: z.number().int().min(1).default(64).describe(
    "Maximum number of concurrent calls to one backend server",
  ),
});

export const clientAccountSchema = z.strictObject({
  name: nameSchema,
  apiKeySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).describe(
    "SHA-256 digests of the account's API keys, in hexadecimal",
  ),
  weight: z.number().min(0.01).max(1_000).default(1).describe(
    "Share of the account when requests wait for capacity",
  ),
  maxConcurrent: z.number().int().min(1).default(256).describe(
    "Maximum number of requests of the account in flight at one entry VM",
  ),
  maxHeldBytes: z.number().int().min(65_536).default(16_777_216).describe(
    "Maximum number of bytes held for the account's slow callers at one entry VM",
  ),
  priority: z.number().int().min(0).max(9).default(5).describe(
    "Priority passed to the engines; a lower number is served first",
  ),
});

export const configSchema = z.strictObject({
  schemaVersion: z.literal(1),
  zones: z.array(zoneSchema).min(1),
  models: z.array(modelSchema).default([]),
  services: z.array(serviceSchema).default([]),
  clientAccounts: z.array(clientAccountSchema).min(1),
  drainedVms: z.array(nameSchema).default([]).describe(
    "VMs that take no new work and leave their groups",
  ),
  confirmNoCapacityFor: z.array(nameSchema).default([]).describe(
    "Models whose last capacity this document may remove",
  ),
  weightLoadsAtOnce: z.number().int().min(1).default(2).describe(
    "Maximum number of groups that load weights at the same time, to be chosen by the rate of the weight store",
  ),
  clockSkewMarginMs: z.number().int().min(0).max(60_000).default(2_000)
    .describe("Time by which new work stops before a quiet-hours window"),
});

/** Validated configuration document, which describes the complete desired state of the system. */
export type ConfigDocument = z.infer<typeof configSchema>;
/** Model that the document declares. */
export type ModelConfig = ConfigDocument["models"][number];
/** Plain service (one without model engines) that the document declares. */
export type ServiceConfig = ConfigDocument["services"][number];
/** Client account that the document declares. */
export type ClientAccountConfig = ConfigDocument["clientAccounts"][number];
/** Availability zone that the document declares. */
export type ZoneConfig = ConfigDocument["zones"][number];
/** Weekly time window in which an availability zone takes no work. */
export type QuietHours = z.infer<typeof quietHoursSchema>;

/** Configuration document with the version under which it was accepted. */
export interface VersionedConfig {
  /** Version of the document; it increases with each accepted document. */
  readonly version: number;
  readonly document: ConfigDocument;
  /** SHA-256 digest of the document as it was stored; the config holder computes it when absent. */
  readonly digest?: string;
}
