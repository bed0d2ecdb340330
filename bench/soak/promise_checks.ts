import type { FakeServerRun } from "../../fakes/fake_backend_server.ts";
import type { DisturbedPart, SoakCall, SoakRecord } from "./soak_record.ts";

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses by which a daemon refuses a proper request. */
const DENYING_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);
/** Time after a disturbance in which the bounds below do not hold, in milliseconds. */
const CALM_MS = 3_000;
/** Time in which a configuration is in force everywhere, in milliseconds. */
const CONFIG_MS = 2_000;
/** Time after which a leaving server gets no request, in milliseconds. */
const DRAIN_MS = 2_000;
/** Time after which a zone that is out of service gets no request, in milliseconds. */
const EXCLUSION_MS = 5_000;
/** Events of a whole stream. */
const STREAM_EVENTS = 20;

/**
 * Finds the promises that were broken in a soak, from what callers and backend servers saw. Promises with a time bound hold for daemons that were not disturbed lately.
 *
 * @param record - What was seen.
 * @returns One sentence for each broken promise.
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
    ...findStopViolations(record, runsById),
    ...(record.conflictingJoins > 0
      ? [`${record.conflictingJoins} servers were in two groups`]
      : []),
  ];
}

function findCallViolations(
  record: SoakRecord,
  call: SoakCall,
  runs: readonly FakeServerRun[],
): string[] {
  const found: string[] = [];
  const { requestId, kind, status } = call;
  const isSuccess = status === 200 && call.isComplete;
  if (isSuccess && call.answeredId !== requestId) {
    found.push(`${requestId} got the answer of ${call.answeredId}`);
  }
  if (isSuccess && call.body !== getWholeBody(call)) {
    found.push(`${requestId} got a wrong or partial ${kind} as complete`);
  }
  if (kind === "booking" && runs.length > 1) {
    found.push(`${requestId} ran ${runs.length} times`);
  }
  if (status !== undefined && NOT_RUN_STATUSES.has(status) && runs.length > 0) {
    found.push(`${requestId} was answered ${status} and ran`);
  }
  return [...found, ...findConfigViolations(record, call, runs)];
}

function getWholeBody(call: SoakCall): string {
  return call.kind === "stream"
    ? Array.from(
      { length: STREAM_EVENTS },
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
  const isCalm = isCalmFor(record, call.daemon, sentAtMs, call.endedAtMs);
  const added = record.keyChanges.find((change) => change.added === key);
  const removed = record.keyChanges.find((change) => change.removed === key);
  const mayUse = removed === undefined || sentAtMs < removed.atMs;
  const isDenied = status !== undefined && DENYING_STATUSES.has(status);
  if (
    isDenied && isCalm && mayUse && added !== undefined &&
    sentAtMs > added.atMs + CONFIG_MS
  ) {
    return [`${requestId} was answered ${status} with a key in force`];
  }
  if (
    removed !== undefined && sentAtMs > removed.atMs + CONFIG_MS && isCalm &&
    runs.length > 0
  ) {
    return [`${requestId} ran with a key that was removed`];
  }
  return [];
}

function findRunViolations(record: SoakRecord): string[] {
  const daemons = new Map(
    record.calls.map(({ requestId, daemon }) => [requestId, daemon]),
  );
  return record.runs.flatMap((run) => {
    const found: string[] = [];
    if (!run.hasFormed) {
      found.push(`${run.requestId} ran in a group that was never whole`);
    }
    const daemon = daemons.get(run.requestId);
    const isLate = record.exclusions.some((exclusion) => {
      const { zone, serverId, fromMs, untilMs } = exclusion;
      const boundMs = zone === undefined ? DRAIN_MS : EXCLUSION_MS;
      return (zone === run.zone || serverId === run.serverId) &&
        run.atMs > fromMs + boundMs && run.atMs < untilMs;
    });
    if (
      isLate && daemon !== undefined &&
      isCalmFor(record, daemon, run.atMs, run.atMs)
    ) {
      found.push(`${run.requestId} was sent to ${run.serverId}, which leaves`);
    }
    return found;
  });
}

/** A planned stop cuts no call that has reached a server, and ends with exit code 0. */
function findStopViolations(
  record: SoakRecord,
  runsById: ReadonlyMap<string, readonly FakeServerRun[]>,
): string[] {
  return record.stops.flatMap((stop) => {
    const found: string[] = [];
    const { daemon, fromMs, untilMs, exitCode } = stop;
    if (!isCalmFor(record, daemon, fromMs, untilMs)) {
      return found;
    }
    if (exitCode !== 0) {
      found.push(`daemon ${daemon} stopped with exit code ${exitCode}`);
    }
    for (const call of record.calls) {
      const isCut = call.daemon === daemon && !call.isComplete &&
        !call.hasGivenUp && call.endedAtMs >= fromMs &&
        call.sentAtMs <= untilMs &&
        (runsById.get(call.requestId)?.length ?? 0) > 0;
      const servers = call.kind === "stream"
        ? "model-servers"
        : "plain-servers";
      if (
        isCut && !isDisturbedIn(record, servers, call.sentAtMs, call.endedAtMs)
      ) {
        found.push(`${call.requestId} was cut by a planned stop`);
      }
    }
    return found;
  });
}

function isCalmFor(
  record: SoakRecord,
  daemon: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return !isDisturbedIn(record, `daemon-${daemon}`, fromMs, untilMs) &&
    !isDisturbedIn(record, "store", fromMs, untilMs);
}

function isDisturbedIn(
  record: SoakRecord,
  part: DisturbedPart,
  fromMs: number,
  untilMs: number,
): boolean {
  return record.disturbances.some((disturbance) =>
    disturbance.part === part && disturbance.fromMs <= untilMs &&
    disturbance.untilMs >= fromMs - CALM_MS
  );
}
