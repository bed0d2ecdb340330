import type { DutyClient } from "../connection/duty_client.ts";
import type { SnapshotStore } from "../connection/object_store.ts";
import { LimitedDutyClient } from "./duties/limited_duty_client.ts";
import { PlannerDutyLease } from "./duties/planner_duty_lease.ts";
import type { PlannerLeaseHolder } from "./fleet/planner_lease_holder.ts";
import type { RoutingPart } from "./routing_parts.ts";
import type { DutySettings } from "./routing_settings.ts";
import {
  createScalingPart,
  type ScalingPartOptions,
} from "./scaling/scaling_part.ts";
import { UsagePart, type UsageRecorder } from "./usage/usage_part.ts";

/** Components of the daemon that the singleton duties need. */
export interface DutyPartsOptions
  extends Omit<ScalingPartOptions, "duties" | "lease"> {
  /** Name of the daemon. */
  readonly name: string;
  /** Undefined when there are no duties. */
  readonly settings: DutySettings | undefined;
  readonly client: DutyClient | undefined;
  readonly lease: PlannerLeaseHolder;
  readonly store: SnapshotStore;
  /** Sends the changes of the notices soon. */
  scheduleNotices(): void;
  /** Sends the changes of the notices at once. */
  announce(): void;
}

/** Parts of the duties that the settings switch on. */
export interface DutyParts {
  readonly parts: readonly RoutingPart[];
  /** Counter of the requests of client accounts; undefined when usage is not reported. */
  readonly usageRecorder: UsageRecorder | undefined;
}

/** Creates the parts for the calls that are the duty of one daemon at a time; none when the settings or the platform have no such calls. */
export function createDutyParts(options: DutyPartsOptions): DutyParts {
  const { settings, client: dutyClient, name } = options;
  if (settings === undefined || dutyClient === undefined) {
    return { parts: [], usageRecorder: undefined };
  }
  const lease = new PlannerDutyLease({
    holder: name,
    lease: options.lease,
    leaseMs: settings.leaseMs,
  });
  const client = new LimitedDutyClient({
    client: dutyClient,
    callsPerSecond: settings.callsPerSecond,
  });
  const usagePart = settings.kinds.includes("usage-report")
    ? new UsagePart({
      ...options,
      settings,
      client,
      lease,
      leaseTimes: options.lease,
    })
    : undefined;
  const scalingPart = createScalingPart({
    ...options,
    duties: settings,
    client,
    lease,
  });
  return {
    parts: [usagePart, scalingPart].filter((part) => part !== undefined),
    usageRecorder: usagePart?.recorder,
  };
}
