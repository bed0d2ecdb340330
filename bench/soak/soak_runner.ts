import { setMaxListeners } from "node:events";
import { mkdir, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { delay } from "../../src/shared/delay.ts";
import { findViolations } from "./guarantee_checks.ts";
import { SoakCallers } from "./soak_callers.ts";
import { SoakFleet } from "./soak_fleet.ts";
import { createPlan, type SoakSize, type SoakStep } from "./soak_plan.ts";
import type { DisturbedPart, SoakRecord } from "./soak_record.ts";

/** Timeout until calls of each kind succeed and every daemon is in rotation, in milliseconds. */
const SERVING_TIMEOUT_MS = 30_000;
const POLL_MS = 200;
/** Time for which a daemon counts as disturbed after it was killed or exited, in milliseconds. It covers the restart. */
const DAEMON_RESTART_MS = 3_000;
/** Time for which servers count as disturbed after one of them was lost, in milliseconds. It covers the replacement of the lost server's group. */
const GROUP_REPLACEMENT_MS = 6_000;
/** Number of consecutive responses that a server drops; large enough that they include each kind of call. */
const LOST_RESPONSE_COUNT = 6;
/** Number of refusals that a server sends a second time. */
const REPEATED_REFUSAL_COUNT = 4;
/** Time for which a server refuses requests, in milliseconds, and the time after which it asks for them again, in seconds. */
const REFUSAL_MS = 500;
const REFUSAL_RETRY_AFTER = "0.3";
/** Codes in a status line that end no HTTP exchange. */
const INVALID_STATUSES = ["000", "099", "600", "999"];
const EXCLUDED_ZONE = "z2";

/** Result of one seed. */
export interface SoakResult {
  readonly seed: number;
  /** One sentence for each violation of a guarantee. */
  readonly violations: readonly string[];
  readonly callCount: number;
  /** Number of calls with status 200. */
  readonly servedCallCount: number;
  readonly steps: readonly SoakStep[];
}

/** Runs daemons as separate processes, injects faults into processes, links, servers and the store, and checks the records of callers and backend servers. */
export class SoakRunner {
  readonly #size: SoakSize;
  readonly #directory: string;
  readonly #program: string;

  /**
   * @param options - Size of the soak, the directory in which logs and records of failed seeds are kept, and the path of the built daemon.
   */
  constructor(
    options: { size: SoakSize; directory: string; program: string },
  ) {
    this.#size = options.size;
    this.#program = options.program;
    this.#directory = options.directory;
  }

  /**
   * Runs the plan of a seed under load and checks the record.
   *
   * @param seed - Seed.
   * @throws When the deployment does not serve before the timeout.
   */
  async run(seed: number): Promise<SoakResult> {
    const directory = join(this.#directory, `seed-${seed}`);
    await rm(directory, { recursive: true, force: true });
    await mkdir(directory, { recursive: true });
    const record = createRecord();
    const fleet = new SoakFleet(record);
    const steps = createPlan(seed, this.#size);
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    try {
      const { daemons, servers } = this.#size;
      await fleet.start({
        daemons,
        servers,
        directory,
        program: this.#program,
      });
      const balancerRun = fleet.runBalancer(controller.signal);
      await this.#waitUntilServing(fleet, seed);
      const callers = new SoakCallers({
        daemons: fleet.daemons,
        seed,
        prefix: "call-",
        chooseKey: (random) => fleet.chooseKey(random),
        calls: record.calls,
      }).run(controller.signal);
      const startMs = performance.now();
      const actions = steps.map(async (step) => {
        await delay(step.atMs);
        await this.#runStep(fleet, record, step);
      });
      await delay(this.#size.durationMs - (performance.now() - startMs));
      controller.abort();
      await Promise.all([callers, balancerRun, ...actions]);
    } finally {
      await fleet.dispose();
    }
    const violations = findViolations(record);
    await this.#finishSeedDirectory(directory, { violations, steps, record });
    return {
      seed,
      violations,
      steps,
      callCount: record.calls.length,
      servedCallCount:
        record.calls.filter(({ status }) => status === 200).length,
    };
  }

  /** Deletes the directory of a seed without violations; otherwise writes the violations, steps and record to it. */
  async #finishSeedDirectory(
    directory: string,
    result: {
      violations: readonly string[];
      steps: unknown;
      record: SoakRecord;
    },
  ): Promise<void> {
    if (result.violations.length === 0) {
      await rm(directory, { recursive: true, force: true });
      return;
    }
    await writeFile(
      join(directory, "record.json"),
      JSON.stringify(result, null, 1),
    );
  }

  /** Waits until calls of each kind succeed and every daemon is in rotation. */
  async #waitUntilServing(fleet: SoakFleet, seed: number): Promise<void> {
    const endMs = performance.now() + SERVING_TIMEOUT_MS;
    for (let round = 0;; round++) {
      const controller = new AbortController();
      setMaxListeners(0, controller.signal);
      const probes = createRecord();
      const probeRun = new SoakCallers({
        daemons: fleet.daemons,
        // A fixed seed would repeat the same calls, which may lack one of the kinds.
        seed: seed + round,
        prefix: `probe-${round}-`,
        chooseKey: () => "key-1",
        calls: probes.calls,
      }).run(controller.signal);
      await delay(POLL_MS);
      controller.abort();
      await probeRun;
      const isServing = ["stream", "booking", "lookup"].every((kind) =>
        probes.calls.some((c) => c.kind === kind && c.status === 200)
      );
      if (isServing && fleet.daemons.every((d) => d.isInRotation)) {
        return;
      }
      if (performance.now() > endMs) {
        throw new Error(
          `Seed ${seed}: the deployment did not serve every kind of call before the timeout`,
        );
      }
    }
  }

  async #runStep(
    fleet: SoakFleet,
    record: SoakRecord,
    step: SoakStep,
  ): Promise<void> {
    const { servers: modelServerCount } = this.#size;
    const getServerPart = (serverIndex: number) =>
      serverIndex < modelServerCount ? "model-servers" : "plain-servers";
    switch (step.kind) {
      case "kill":
        recordDisturbance(record, `daemon-${step.daemon}`, DAEMON_RESTART_MS);
        fleet.daemons[step.daemon].sendSignal("SIGKILL");
        return;
      case "stop":
        await stopDaemon(fleet, record, step.daemon);
        return;
      case "pause":
        recordDisturbance(record, `daemon-${step.daemon}`, step.forMs);
        fleet.daemons[step.daemon].sendSignal("SIGSTOP");
        await delay(step.forMs);
        fleet.daemons[step.daemon].sendSignal("SIGCONT");
        return;
      case "store-link":
        recordDisturbance(record, `daemon-${step.daemon}`, step.forMs);
        fleet.storeProxies[step.daemon].setFault(step.fault);
        await delay(step.forMs);
        fleet.storeProxies[step.daemon].setFault("none");
        return;
      case "server-link": {
        recordDisturbance(
          record,
          getServerPart(step.server),
          step.forMs + GROUP_REPLACEMENT_MS,
        );
        const { proxy } = fleet.servers[step.server];
        proxy.setFault(step.fault);
        await delay(step.forMs);
        proxy.setFault("none");
        return;
      }
      case "store":
        recordDisturbance(record, "store", step.forMs);
        fleet.store.fault = step.fault;
        await delay(step.forMs);
        fleet.store.fault = "none";
        return;
      case "drop-history":
        recordDisturbance(record, "store", 0);
        fleet.store.dropHistory();
        return;
      case "crash-server":
        recordDisturbance(
          record,
          getServerPart(step.server),
          GROUP_REPLACEMENT_MS,
        );
        await fleet.crashServer(step.server, modelServerCount);
        return;
      case "silence-server":
        // The silence of a server is no disturbance that excuses a violation.
        await fleet.servers[step.server].server.pause(step.forMs);
        return;
      case "drain-server":
      case "withdraw-server":
        await fleet.drainServer(step.server, {
          modelServerCount,
          reportsDrain: step.kind === "drain-server",
        });
        recordDisturbance(
          record,
          getServerPart(step.server),
          GROUP_REPLACEMENT_MS,
        );
        return;
      case "late-orders":
        fleet.servers[step.server].server.ordersToDelay++;
        return;
      case "lose-answers":
        recordDisturbance(record, getServerPart(step.server), 0);
        fleet.servers[step.server].server.responsesToLose +=
          LOST_RESPONSE_COUNT;
        return;
      case "change-keys":
        fleet.changeKeys();
        return;
      case "kill-planner": {
        const planner = fleet.findPlanner();
        if (planner !== undefined) {
          recordDisturbance(record, `daemon-${planner}`, DAEMON_RESTART_MS);
          fleet.daemons[planner].sendSignal("SIGKILL");
        }
        return;
      }
      case "refuse-planner": {
        const planner = fleet.findPlanner();
        if (planner !== undefined) {
          recordDisturbance(record, `daemon-${planner}`, step.forMs);
          fleet.storeProxies[planner].setFault("reset");
          await delay(step.forMs);
          fleet.storeProxies[planner].setFault("none");
        }
        return;
      }
      case "repeat-refusals": {
        const { server } = fleet.servers[step.server];
        server.refusalsToRepeat += REPEATED_REFUSAL_COUNT;
        server.retryAfter = REFUSAL_RETRY_AFTER;
        await delay(REFUSAL_MS);
        server.retryAfter = undefined;
        return;
      }
      case "spoil-answers": {
        recordDisturbance(record, getServerPart(step.server), 0);
        const { server } = fleet.servers[step.server];
        server.invalidStatus =
          INVALID_STATUSES[step.atMs % INVALID_STATUSES.length];
        server.requestsToSpoil += LOST_RESPONSE_COUNT;
        return;
      }
      case "remove-accounts":
        await fleet.removeAccounts(step.forMs);
        return;
      case "exclude-zone":
        await fleet.takeZoneOutOfService(EXCLUDED_ZONE, step.forMs);
        return;
    }
  }
}

async function stopDaemon(
  fleet: SoakFleet,
  record: SoakRecord,
  daemon: number,
): Promise<void> {
  const stop = {
    daemon,
    fromMs: Date.now(),
    untilMs: Number.POSITIVE_INFINITY,
    exitCode: undefined as number | null | undefined,
  };
  const isStopping = record.stops.some((other) =>
    other.daemon === daemon && other.untilMs > stop.fromMs
  );
  if (isStopping) {
    return;
  }
  record.stops.push(stop);
  stop.exitCode = await fleet.daemons[daemon].stop();
  stop.untilMs = Date.now();
  record.disturbances.push({
    part: `daemon-${daemon}`,
    // The disturbance starts when the process has exited, so that calls during the planned stop are checked.
    fromMs: stop.untilMs + 1,
    untilMs: stop.untilMs + DAEMON_RESTART_MS,
  });
}

function recordDisturbance(
  record: SoakRecord,
  part: DisturbedPart,
  forMs: number,
): void {
  const fromMs = Date.now();
  record.disturbances.push({ part, fromMs, untilMs: fromMs + forMs });
}

function createRecord(): SoakRecord {
  return {
    calls: [],
    runs: [],
    disturbances: [],
    stops: [],
    keyChanges: [],
    accountRemovals: [],
    exclusions: [],
    conflictingJoins: 0,
  };
}
