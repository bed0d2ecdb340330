import type { Downtime, StatusSample } from "./status_sample.ts";
import type { PhaseSummary } from "./phase_summary.ts";
import type { BenchPolicy } from "./bench_deployment.ts";

/** Kind of loss: the crash of an engine, the pause of an engine, or the outage of a fabric domain. */
export type LossKind = "crash" | "pause" | "domain";

/** Loss of group members and its measured effects. */
export interface LossResult {
  readonly kind: LossKind;
  readonly atMs: number;
  readonly downtime: Downtime;
  /** Time from the loss to the first token of a request sent after it; undefined when none was served. */
  readonly nextServedMs?: number;
}

/** Result of the measurement of group downtime and stranded VMs. */
export interface DowntimeResult {
  readonly losses: readonly LossResult[];
  readonly samples: readonly StatusSample[];
  readonly strandedVmSeconds: number;
  /** Stranded VM-seconds without the VMs that no declared group needs. */
  readonly excessVmSeconds: number;
  /** Number of engine crashes that the benchmark did not inject. */
  readonly otherCrashes: number;
  readonly service: PhaseSummary;
}

/** Result of the measurement while a zone is taken out of service and brought back. */
export interface ZoneResult {
  readonly phases: readonly PhaseSummary[];
  readonly samples: readonly StatusSample[];
  readonly otherCrashes: number;
}

/** Memory of a daemon at one time. */
export interface MemorySample {
  readonly atMs: number;
  readonly heldBytes: number;
  /** Growth of the resident set since the start of the measurement. */
  readonly residentGrowthBytes: number;
}

/** Result of the measurement of the memory that a daemon holds for slow readers. */
export interface MemoryResult {
  readonly readers: number;
  readonly samples: readonly MemorySample[];
  readonly peakHeldBytes: number;
  readonly peakResidentGrowthBytes: number;
  readonly parked: number;
  readonly closed: number;
  /** Number of bytes that the readers received. */
  readonly readBytes: number;
}

/** Results of one policy for one profile. */
export interface PolicyResult {
  readonly profile: string;
  readonly policy: BenchPolicy;
  downtime?: DowntimeResult;
  zone?: ZoneResult;
  memory?: MemoryResult;
}
