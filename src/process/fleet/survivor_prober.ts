import { ReportTimeoutError } from "../../connection/group_order_client.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { LoopDelayMeter } from "./loop_delay_meter.ts";
import type { MemberOrderExecutor } from "./member_order_executor.ts";
import { OtherProcessError } from "./other_process_error.ts";

/** Time after which a member that did not respond is probed again, in milliseconds. */
const SILENCE_PROBE_INTERVAL_MS = 250;
/** Time after which the state of a member that responded is requested again, in milliseconds. */
const ALIVE_PROBE_INTERVAL_MS = 1_000;
/** Time from the first probe without a response after which a silent member counts as ended, in milliseconds. A sound server may be silent for more than a second. */
const MAX_SILENCE_MS = 2_000;
/** Delay of the event loop above which a missing response does not count, in milliseconds. */
const MAX_LOOP_DELAY_MS = 60;

/**
 * State of a member according to its probes.
 *
 * - `alive`: it has responded to the last probe.
 * - `ended`: its process has ended, or another process uses its address.
 * - `refused`: it refuses connections since its entry was removed. Its process has ended, or it only has stopped listening.
 * - `silent`: it has not responded for `MAX_SILENCE_MS`.
 * - `unknown`: no probe has ended yet, or it has been silent for a shorter time.
 */
export type MemberState =
  | "alive"
  | "ended"
  | "refused"
  | "silent"
  | "unknown";

interface MemberProbe {
  state: MemberState;
  isPending: boolean;
  /** Monotonic time at which the last probe was sent, in milliseconds. */
  sentAtMs: number;
  /** Whether the group was lost when the last probe was sent. */
  isAfterLoss: boolean;
  /** Monotonic time at which the first of the unanswered probes was sent, in milliseconds. */
  silentSinceMs: number | undefined;
}

/** Probes the members of lost and suspected groups before they join another group. The server list keeps dead servers for several heartbeats, and a silent server may go on. */
export class SurvivorProber {
  readonly #orders: MemberOrderExecutor;
  readonly #onResult: () => void;
  readonly #probes = new Map<string, Map<string, MemberProbe>>();

  constructor(options: {
    orders: MemberOrderExecutor;
    /** Called when a probe has ended. */
    onResult?(): void;
  }) {
    this.#orders = options.orders;
    this.#onResult = options.onResult ?? (() => {});
  }

  /**
   * Gets the state of a member of a group, and starts a probe if one is due. A response from before the loss of the group does not count after it.
   *
   * @param groupKey - Key of the group.
   * @param server - Member to probe.
   * @param options - Whether the group is lost, whether a member that has responded is probed again, and whether the member's entry was removed.
   */
  getState(
    groupKey: string,
    server: BackendServer,
    { isLost, mustRepeat, isRemoved = false }: {
      isLost: boolean;
      mustRepeat: boolean;
      isRemoved?: boolean;
    },
  ): MemberState {
    const probes = this.#probes.get(groupKey) ??
      new Map<string, MemberProbe>();
    this.#probes.set(groupKey, probes);
    const probe = probes.get(server.id) ?? createProbe();
    probes.set(server.id, probe);
    const isOutdated = isLost && !probe.isAfterLoss && probe.state === "alive";
    const ageMs = performance.now() - probe.sentAtMs;
    const isDue = probe.state === "alive"
      ? isOutdated || (mustRepeat && ageMs >= ALIVE_PROBE_INTERVAL_MS)
      : ageMs >= SILENCE_PROBE_INTERVAL_MS;
    if (!probe.isPending && isDue) {
      probe.isAfterLoss = isLost;
      probe.state = isOutdated ? "unknown" : probe.state;
      void this.#runProbe(probe, server, isRemoved);
    }
    return probe.state;
  }

  /**
   * Gets whether a member has responded to a probe since its group was lost. The first call starts a probe and returns `false`.
   *
   * @param groupKey - Key of the lost group.
   * @param server - Member to probe.
   */
  isAlive(groupKey: string, server: BackendServer): boolean {
    return this.getState(groupKey, server, {
      isLost: true,
      mustRepeat: false,
    }) === "alive";
  }

  /**
   * Discards the results for all other groups.
   *
   * @param keys - Keys of the groups that servers still report.
   */
  retainGroups(keys: { has(key: string): boolean }): void {
    for (const key of this.#probes.keys()) {
      if (!keys.has(key)) {
        this.#probes.delete(key);
      }
    }
  }

  async #runProbe(
    probe: MemberProbe,
    server: BackendServer,
    isRemoved: boolean,
  ): Promise<void> {
    const sentAtMs = performance.now();
    probe.isPending = true;
    probe.sentAtMs = sentAtMs;
    const meter = new LoopDelayMeter();
    const report = await this.#orders.requestState(server);
    const isObserverSlow = meter.stop() > MAX_LOOP_DELAY_MS;
    probe.isPending = false;
    const error = report.isLeft() ? report.extract() : undefined;
    if (error === undefined) {
      probe.state = "alive";
      probe.silentSinceMs = undefined;
    } else if (error instanceof OtherProcessError) {
      probe.state = "ended";
    } else if (!(error instanceof ReportTimeoutError)) {
      probe.state = getRefusedState(probe, server, isRemoved);
    } else if (!isObserverSlow) {
      probe.silentSinceMs ??= sentAtMs;
      probe.state = performance.now() - probe.silentSinceMs >= MAX_SILENCE_MS
        ? "silent"
        : "unknown";
    }
    this.#onResult();
  }
}

/** Gets the state of a member that has refused a connection. A server may stop listening before its requests are complete: while it drains, and after its entry was removed. */
function getRefusedState(
  { state }: MemberProbe,
  { isDraining }: BackendServer,
  isRemoved: boolean,
): MemberState {
  if (isRemoved) {
    return state === "ended" ? "ended" : "refused";
  }
  return isDraining ? "unknown" : "ended";
}

function createProbe(): MemberProbe {
  return {
    state: "unknown",
    isPending: false,
    sentAtMs: Number.NEGATIVE_INFINITY,
    isAfterLoss: false,
    silentSinceMs: undefined,
  };
}
