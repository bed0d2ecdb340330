import type { FakeServerRun } from "../../fakes/fake_backend_server.ts";
import type { DisturbedPart, SoakCall, SoakRecord } from "./soak_record.ts";

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses with which a daemon rejects the API key or the access to a path. */
const DENYING_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);
/** Lowest and highest status with which an HTTP exchange ends. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
/** Time after a disturbance for which the part still counts as disturbed, in milliseconds. */
const RECOVERY_MS = 3_000;
/** Longest allowed time until a new configuration is in force on every daemon, in milliseconds. */
const CONFIG_PROPAGATION_MS = 2_000;
/** Longest time for which daemons may still send requests to a draining server, in milliseconds. */
const DRAIN_BOUND_MS = 2_000;
/** Longest time for which daemons may still send requests to an excluded zone, in milliseconds. */
const EXCLUSION_BOUND_MS = 5_000;
/** Number of events of a complete stream. */
const STREAM_EVENT_COUNT = 20;

/**
 * Finds the violations of the daemon's guarantees in a soak by comparing the calls with the requests that backend servers executed. Guarantees with a time bound are checked only for daemons without a recent disturbance.
 *
 * @param record - Record of the soak.
 * @returns One sentence for each violation.
 * @example
 * ```ts
 * const violations = findViolations(record);
 * ```
 */
export function findViolations(record: SoakRecord): string[] {
  const runsById = new Map<string, FakeServerRun[]>();
  for (const run of record.runs) {
    runsById.set(run.requestId, [...runsById.get(run.requestId) ?? [], run]);
  }
  return [
    ...record.calls.flatMap((call) =>
      findCallViolations(record, call, runsById.get(call.requestId) ?? [])
    ),
    ...findRunViolations(record),
    ...findPlannedStopViolations(record, runsById),
    ...(record.conflictingJoins > 0
      ? [
        `servers accepted ${record.conflictingJoins} joins while the head of their previous group was still serving`,
      ]
      : []),
  ];
}

function findCallViolations(
  record: SoakRecord,
  call: SoakCall,
  runs: readonly FakeServerRun[],
): string[] {
  const violations: string[] = [];
  const { requestId, kind, status } = call;
  const isSuccess = status === 200 && call.isComplete;
  if (isSuccess && call.answeredId !== requestId) {
    violations.push(`${requestId} got the response of ${call.answeredId}`);
  }
  if (isSuccess && call.body !== getExpectedBody(call)) {
    violations.push(
      `${requestId} got a wrong or partial ${kind} response marked as complete`,
    );
  }
  if (status !== undefined && (status < MIN_STATUS || status > MAX_STATUS)) {
    violations.push(`${requestId} got the status ${status}, which is none`);
  }
  if (kind === "booking" && runs.length > 1) {
    violations.push(`${requestId} ran ${runs.length} times`);
  }
  if (status !== undefined && NOT_RUN_STATUSES.has(status) && runs.length > 0) {
    violations.push(
      `${requestId} got status ${status}, which guarantees that a request has not run, but ran`,
    );
  }
  return [...violations, ...findConfigViolations(record, call, runs)];
}

function getExpectedBody(call: SoakCall): string {
  return call.kind === "stream"
    ? Array.from(
      { length: STREAM_EVENT_COUNT },
      (_, i) => `id: ${i + 1}\ndata: ${i + 1}\n\n`,
    ).join("")
    : `done by ${call.signature}`;
}

function findConfigViolations(
  record: SoakRecord,
  call: SoakCall,
  runs: readonly FakeServerRun[],
): string[] {
  const { requestId, status, key, sentAtMs } = call;
  const isUndisturbed = isDaemonUndisturbed(
    record,
    call.daemon,
    sentAtMs,
    call.endedAtMs,
  );
  const addition = record.keyChanges.find((change) => change.added === key);
  const removal = record.keyChanges.find((change) => change.removed === key);
  const isKeyUsable = (removal === undefined || sentAtMs < removal.atMs) &&
    !record.accountRemovals.some(({ fromMs, untilMs }) =>
      call.endedAtMs >= fromMs && sentAtMs < untilMs + CONFIG_PROPAGATION_MS
    );
  const isDenied = status !== undefined && DENYING_STATUSES.has(status);
  if (
    isDenied && isUndisturbed && isKeyUsable && addition !== undefined &&
    sentAtMs > addition.atMs + CONFIG_PROPAGATION_MS
  ) {
    return [`${requestId} got status ${status} with a valid key`];
  }
  if (
    removal !== undefined && sentAtMs > removal.atMs + CONFIG_PROPAGATION_MS &&
    isUndisturbed &&
    runs.length > 0
  ) {
    return [`${requestId} ran with a removed key`];
  }
  const hasNoAccount = record.accountRemovals.some(({ fromMs, untilMs }) =>
    sentAtMs > fromMs + CONFIG_PROPAGATION_MS && call.endedAtMs < untilMs
  );
  if (hasNoAccount && isUndisturbed && runs.length > 0) {
    return [`${requestId} ran although no key is valid`];
  }
  return [];
}

function findRunViolations(record: SoakRecord): string[] {
  const daemonByRequestId = new Map(
    record.calls.map(({ requestId, daemon }) => [requestId, daemon]),
  );
  return record.runs.flatMap((run) => {
    const violations: string[] = [];
    if (!run.hasFormed) {
      violations.push(
        `${run.requestId} ran in a group that was never complete`,
      );
    }
    const daemon = daemonByRequestId.get(run.requestId);
    const isExcluded = record.exclusions.some((exclusion) => {
      const { zone, serverId, fromMs, untilMs } = exclusion;
      const boundMs = zone === undefined ? DRAIN_BOUND_MS : EXCLUSION_BOUND_MS;
      return (zone === run.zone || serverId === run.serverId) &&
        run.atMs > fromMs + boundMs && run.atMs < untilMs;
    });
    if (
      isExcluded && daemon !== undefined &&
      isDaemonUndisturbed(record, daemon, run.atMs, run.atMs)
    ) {
      violations.push(
        `${run.requestId} was sent to ${run.serverId}, which is draining or in an excluded zone`,
      );
    }
    return violations;
  });
}

/** Finds planned stops that interrupt a call which has reached a server, or that end with another exit code than 0. */
function findPlannedStopViolations(
  record: SoakRecord,
  runsById: ReadonlyMap<string, readonly FakeServerRun[]>,
): string[] {
  return record.stops.flatMap((stop) => {
    const violations: string[] = [];
    const { daemon, fromMs, untilMs, exitCode } = stop;
    if (!isDaemonUndisturbed(record, daemon, fromMs, untilMs)) {
      return violations;
    }
    if (exitCode !== 0) {
      violations.push(`daemon ${daemon} stopped with exit code ${exitCode}`);
    }
    for (const call of record.calls) {
      const isInterrupted = call.daemon === daemon && !call.isComplete &&
        !call.hasGivenUp && call.endedAtMs >= fromMs &&
        call.sentAtMs <= untilMs &&
        (runsById.get(call.requestId)?.length ?? 0) > 0;
      const serverPart = call.kind === "stream"
        ? "model-servers"
        : "plain-servers";
      if (
        isInterrupted &&
        !isPartDisturbed(record, serverPart, call.sentAtMs, call.endedAtMs)
      ) {
        violations.push(`${call.requestId} was interrupted by a planned stop`);
      }
    }
    return violations;
  });
}

function isDaemonUndisturbed(
  record: SoakRecord,
  daemon: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return !isPartDisturbed(record, `daemon-${daemon}`, fromMs, untilMs) &&
    !isPartDisturbed(record, "store", fromMs, untilMs);
}

function isPartDisturbed(
  record: SoakRecord,
  part: DisturbedPart,
  fromMs: number,
  untilMs: number,
): boolean {
  return record.disturbances.some((disturbance) =>
    disturbance.part === part && disturbance.fromMs <= untilMs &&
    disturbance.untilMs >= fromMs - RECOVERY_MS
  );
}
