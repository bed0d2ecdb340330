/** Fields of a daemon's status that the measurements read. */
export interface StatusView {
  readonly vms: readonly {
    readonly name: string;
    readonly role: string;
    readonly state: string;
  }[];
  readonly groups: readonly {
    readonly phase: string;
    readonly health: string;
    readonly leader: string;
  }[];
  readonly heldBytes?: {
    readonly processBytes: number;
    readonly peakProcessBytes: number;
    readonly parked: number;
    readonly closed: number;
  };
}

/** Numbers of complete groups and stranded VMs at one time. */
export interface StatusSample {
  /** Time since the start of the measurement, in milliseconds. */
  readonly atMs: number;
  /** Number of groups that are complete and serve. */
  readonly completeGroups: number;
  /** Live backend VMs that are not members of a complete group. */
  readonly strandedVms: number;
}

/**
 * Creates a sample from the status of a daemon.
 *
 * @param status - Response of `/api/status`.
 * @param options - Time of the status and number of VMs of a group.
 */
export function createStatusSample(
  status: StatusView,
  options: { atMs: number; groupSizeVms: number },
): StatusSample {
  const completeGroups =
    status.groups.filter((group) =>
      group.phase === "serving" &&
      (group.health === "cold" || group.health === "ready")
    ).length;
  const liveBackendVms =
    status.vms.filter((vm) => vm.role === "backend" && vm.state === "live")
      .length;
  return {
    atMs: options.atMs,
    completeGroups,
    strandedVms: Math.max(
      0,
      liveBackendVms - completeGroups * options.groupSizeVms,
    ),
  };
}

/** Period after a loss in which not all wanted groups were complete. */
export interface Downtime {
  /** Time from the loss until the groups were complete again, or until the last sample. */
  readonly durationMs: number;
  /** Whether all groups were complete again by the last sample. */
  readonly restored: boolean;
  /** Whether a sample showed fewer complete groups after the loss. */
  readonly observed: boolean;
}

/**
 * Gets the time from a loss until all wanted groups are complete again.
 *
 * @param samples - Samples in the order of their times.
 * @param loss - Time of the loss, time of the next loss, and wanted number of complete groups.
 * @example
 * ```ts
 * const downtime = getDowntime(samples, { atMs: 5_000, wantedGroups: 10 });
 * ```
 */
export function getDowntime(
  samples: readonly StatusSample[],
  loss: { atMs: number; untilMs?: number; wantedGroups: number },
): Downtime {
  const samplesAfterLoss = samples.filter((s) =>
    s.atMs >= loss.atMs && s.atMs < (loss.untilMs ?? Infinity)
  );
  const dropIndex = samplesAfterLoss.findIndex((s) =>
    s.completeGroups < loss.wantedGroups
  );
  if (dropIndex < 0) {
    return { durationMs: 0, restored: true, observed: false };
  }
  const dropAtMs = samplesAfterLoss[dropIndex].atMs;
  // The downtime may end after the next loss, so the search covers all later samples.
  const samplesAfterDrop = samples.filter((s) => s.atMs > dropAtMs);
  const restoredSample = samplesAfterDrop.find((s) =>
    s.completeGroups >= loss.wantedGroups
  );
  const endAtMs = restoredSample?.atMs ?? samples[samples.length - 1].atMs;
  return {
    durationMs: endAtMs - loss.atMs,
    restored: restoredSample !== undefined,
    observed: true,
  };
}

/**
 * Gets the VM-seconds that live backend VMs spent outside complete groups. Each sample is weighted by the time until the next one.
 *
 * @param samples - Samples in the order of their times.
 * @param exemptVms - Number of VMs that no group needs, subtracted from each sample.
 */
export function getStrandedVmSeconds(
  samples: readonly StatusSample[],
  exemptVms = 0,
): number {
  let vmMs = 0;
  for (let index = 1; index < samples.length; index++) {
    const previous = samples[index - 1];
    vmMs += Math.max(0, previous.strandedVms - exemptVms) *
      (samples[index].atMs - previous.atMs);
  }
  return vmMs / 1_000;
}
