import {
  type ChoicePath,
  type ChoicePoint,
  type ChoiceSource,
  RecordedChoices,
} from "./choice_source.ts";
import { DaemonParts } from "./daemon_parts.ts";
import { MODELS } from "./explored_config.ts";
import { listEvents, type WorldSize } from "./explored_event.ts";
import { ExploredWorld } from "./explored_world.ts";
import type { Violation } from "./group_checker.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** Time between two steps, in milliseconds. */
const STEP_MS = 500;
/** Time after the last fault within which late orders are carried out, pauses end and leases lapse, in milliseconds. */
const SETTLE_MS = 12_500;
/** Time after `SETTLE_MS` within which all groups that can be complete have to be open, in milliseconds. */
const RECOVERY_MS = 15_000;

/** Result of one path. */
export interface PathResult {
  /** First broken rule; undefined when all held. */
  readonly violation: Violation | undefined;
  readonly path: ChoicePath;
  /** Points at which something was chosen, in order. */
  readonly points: readonly ChoicePoint[];
  /** Visible states after each step. */
  readonly stateKeys: readonly string[];
  /** Time from the last fault until all groups were open, in milliseconds; undefined when a rule was broken. */
  readonly recoveryMs: number | undefined;
  /** Table of the events. */
  readonly table: string;
}

/** Runs single paths: chooses an event in each step, lets the faults end, and waits until all groups are open. */
export class PathRunner {
  readonly #size: WorldSize;
  readonly #steps: number;
  readonly #parts: DaemonParts;

  constructor(options: {
    /** Number of daemons; defaults to 2. */
    daemons?: number;
    /** Number of servers; defaults to 4. */
    servers?: number;
    /** Number of steps in which an event may happen. */
    steps: number;
    /** Parts of the daemons; defaults to the real ones. */
    parts?: DaemonParts;
  }) {
    this.#size = {
      daemons: options.daemons ?? 2,
      servers: options.servers ?? 4,
      models: MODELS.length,
    };
    this.#steps = options.steps;
    this.#parts = options.parts ?? new DaemonParts();
  }

  /** Runs one path. The clock of the runtime is replaced until it has ended. */
  async run(source: ChoiceSource): Promise<PathResult> {
    const clock = new VirtualClock();
    clock.start();
    try {
      return await this.#runOnClock(clock, new RecordedChoices(source));
    } finally {
      clock.dispose();
    }
  }

  async #runOnClock(
    clock: VirtualClock,
    choices: RecordedChoices,
  ): Promise<PathResult> {
    const world = new ExploredWorld({
      clock,
      choices,
      parts: this.#parts,
      size: this.#size,
    });
    const { violations } = world.checker;
    const stateKeys: string[] = [];
    const runStep = async () => {
      await clock.runUntil(clock.getTimeMs() + STEP_MS);
      stateKeys.push(world.getStateKey());
      return violations.length === 0;
    };
    const events = listEvents(this.#size);
    for (let i = 0; i < this.#steps && await runStep(); i++) {
      world.applyEvent(events[choices.choose("event", events.length)]);
    }
    world.repairAll();
    const repairedAtMs = clock.getTimeMs();
    const settledAtMs = repairedAtMs + SETTLE_MS;
    const endMs = settledAtMs + RECOVERY_MS;
    let recoveryMs: number | undefined;
    while (violations.length === 0 && clock.getTimeMs() < endMs) {
      await runStep();
      if (!world.isRecovered()) {
        recoveryMs = undefined;
        continue;
      }
      recoveryMs ??= clock.getTimeMs() - repairedAtMs;
      if (clock.getTimeMs() >= settledAtMs) {
        break;
      }
    }
    if (violations.length === 0 && recoveryMs === undefined) {
      world.checker.record("not-recovered", world.describeState());
    }
    const [violation] = violations;
    if (violation !== undefined) {
      world.log.record("BROKEN", `${violation.rule}: ${violation.message}`);
    }
    await world.dispose();
    await clock.runUntil(clock.getTimeMs());
    return {
      violation,
      path: choices.path,
      points: choices.points,
      stateKeys,
      recoveryMs,
      table: world.log.render(),
    };
  }
}
