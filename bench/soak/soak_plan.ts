import { getHash32 } from "../../src/shared/rendezvous_hash.ts";
import { SeededRandom } from "../load/seeded_random.ts";
import type { LinkFault } from "./fault_proxy.ts";

/**
 * Fault or planned change that a soak causes.
 *
 * - `kill`: a daemon is killed with SIGKILL and restarted.
 * - `stop`: a daemon is stopped with SIGTERM and restarted.
 * - `pause`: a daemon process is suspended.
 * - `store-link`: a fault applies to the connections between a daemon and the store.
 * - `server-link`: a fault applies to the connections to a backend server.
 * - `store`: the store does not respond (`silent`) or responds with status 503 (`busy`).
 * - `drop-history`: the store discards its past events, from which watches resume.
 * - `crash-server`: a backend server crashes and is replaced.
 * - `silence-server`: a backend server without a fault sends nothing for a while, and goes on.
 * - `drain-server`: a backend server drains and is replaced.
 * - `late-orders`: the next order to a backend server gets no response and is carried out later.
 * - `lose-answers`: a backend server executes the next requests, but resets their connections in place of a response.
 * - `change-keys`: an API key is added, and the oldest one is removed when more than two are valid.
 * - `exclude-zone`: an availability zone is excluded from service.
 * - `kill-planner`: the daemon that holds the planner's lease is killed with SIGKILL and restarted.
 * - `refuse-planner`: the store refuses the calls of the daemon that holds the planner's lease.
 * - `withdraw-server`: a backend server removes its entry without draining, serves on for a while, and is replaced.
 * - `repeat-refusals`: a backend server refuses the next requests for a short time, and sends each refusal a second time.
 * - `spoil-answers`: a backend server executes the next requests, and answers with a status that is none.
 * - `remove-accounts`: the configuration has an empty list of client accounts for a while.
 */
export type SoakAction =
  | { readonly kind: "kill"; readonly daemon: number }
  | { readonly kind: "stop"; readonly daemon: number }
  | { readonly kind: "pause"; readonly daemon: number; readonly forMs: number }
  | {
    readonly kind: "store-link";
    readonly daemon: number;
    readonly fault: LinkFault;
    readonly forMs: number;
  }
  | {
    readonly kind: "server-link";
    readonly server: number;
    readonly fault: LinkFault;
    readonly forMs: number;
  }
  | {
    readonly kind: "store";
    readonly fault: "silent" | "busy";
    readonly forMs: number;
  }
  | { readonly kind: "drop-history" }
  | { readonly kind: "crash-server"; readonly server: number }
  | {
    readonly kind: "silence-server";
    readonly server: number;
    readonly forMs: number;
  }
  | { readonly kind: "drain-server"; readonly server: number }
  | { readonly kind: "late-orders"; readonly server: number }
  | { readonly kind: "lose-answers"; readonly server: number }
  | { readonly kind: "change-keys" }
  | { readonly kind: "exclude-zone"; readonly forMs: number }
  | { readonly kind: "kill-planner" }
  | { readonly kind: "refuse-planner"; readonly forMs: number }
  | { readonly kind: "withdraw-server"; readonly server: number }
  | { readonly kind: "repeat-refusals"; readonly server: number }
  | { readonly kind: "spoil-answers"; readonly server: number }
  | { readonly kind: "remove-accounts"; readonly forMs: number };

/** Action of a plan with its start time. */
export type SoakStep = SoakAction & {
  /** Time from the start of the load, in milliseconds. */
  readonly atMs: number;
};

/** Size of a soak. */
export interface SoakSize {
  readonly daemons: number;
  /** Number of model servers. */
  readonly servers: number;
  readonly durationMs: number;
}

/** Number of servers of the plain service. Their indexes follow those of the model servers. */
export const PLAIN_SERVER_COUNT = 2;
/** Mean time between two actions, in milliseconds; short enough that several overlap. */
const MEAN_ACTION_INTERVAL_MS = 900;
/** Mean time between two actions of the second sequence, in milliseconds. */
const MEAN_BELIEF_ACTION_INTERVAL_MS = 3_000;
/** Time between an action and one that follows it, in milliseconds. A restarted daemon reads the list of servers soon after it. */
const FOLLOW_UP_MS = 600;
/** Shortest time for which the store refuses the planner, in milliseconds. It exceeds the time within which the daemons have to know of a change. */
const MIN_REFUSAL_DURATION_MS = 3_000;
/** Shortest time without client accounts, in milliseconds. It exceeds the time within which a configuration has to be in force. */
const MIN_REMOVAL_DURATION_MS = 2_500;
const LINK_FAULTS: readonly LinkFault[] = [
  "delay",
  "silence",
  "cut-requests",
  "cut-answers",
  "reset",
];
const MIN_FAULT_DURATION_MS = 300;
const MAX_FAULT_DURATION_MS = 4_000;
/** Shortest and longest silence of a backend server without a fault, in milliseconds. */
const SILENCE_DURATION_MS = { min: 700, max: 2_000 };
/** Shortest exclusion of a zone, in milliseconds. It exceeds the time for which the zone may still receive requests. */
const MIN_EXCLUSION_DURATION_MS = 5_500;
/** Time at the end of a soak without new actions, in milliseconds, so that calls in flight can end. */
const QUIET_END_MS = 2_000;

/**
 * Creates the actions of a seed.
 *
 * @param seed - Seed.
 * @param size - Size of the soak.
 * @example
 * ```ts
 * const steps = createPlan(7, { daemons: 5, servers: 8, durationMs: 20_000 });
 * ```
 */
export function createPlan(seed: number, size: SoakSize): SoakStep[] {
  return [
    ...createSteps(size, {
      random: new SeededRandom(getHash32(`soak ${seed}`)),
      meanIntervalMs: MEAN_ACTION_INTERVAL_MS,
      createActions: (random) => [createAction(random, size)],
    }),
    // A separate sequence, so that the actions above stay the same for each seed.
    ...createSteps(size, {
      random: new SeededRandom(getHash32(`soak beliefs ${seed}`)),
      meanIntervalMs: MEAN_BELIEF_ACTION_INTERVAL_MS,
      createActions: (random) => createBeliefActions(random, size),
    }),
  ];
}

function createSteps(size: SoakSize, options: {
  random: SeededRandom;
  meanIntervalMs: number;
  /** Creates actions that start one after the other, `FOLLOW_UP_MS` apart. */
  createActions: (random: SeededRandom) => readonly SoakAction[];
}): SoakStep[] {
  const { random, meanIntervalMs, createActions } = options;
  const steps: SoakStep[] = [];
  let atMs = 0;
  for (;;) {
    atMs += Math.round(random.getArrivalGapMs(1_000 / meanIntervalMs));
    if (atMs > size.durationMs - QUIET_END_MS) {
      return steps;
    }
    createActions(random).forEach((action, i) =>
      steps.push({ ...action, atMs: atMs + i * FOLLOW_UP_MS })
    );
  }
}

/** Creates actions that leave a daemon with outdated or incomplete information. */
function createBeliefActions(
  random: SeededRandom,
  size: SoakSize,
): readonly SoakAction[] {
  const server = random.getInteger(size.servers + PLAIN_SERVER_COUNT);
  const plainServer = size.servers + random.getInteger(PLAIN_SERVER_COUNT);
  const forMs = MIN_FAULT_DURATION_MS +
    random.getInteger(MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
  const choices: readonly (readonly SoakAction[])[] = [
    [{ kind: "kill-planner" }, { kind: "withdraw-server", server }],
    [{ kind: "kill-planner" }, {
      kind: "withdraw-server",
      server: plainServer,
    }],
    [{ kind: "refuse-planner", forMs: forMs + MIN_REFUSAL_DURATION_MS }, {
      kind: "withdraw-server",
      server: plainServer,
    }],
    [{ kind: "withdraw-server", server }],
    [{ kind: "repeat-refusals", server }],
    [{ kind: "spoil-answers", server }],
    [{ kind: "remove-accounts", forMs: forMs + MIN_REMOVAL_DURATION_MS }],
  ];
  return choices[random.getInteger(choices.length)];
}

function createAction(random: SeededRandom, size: SoakSize): SoakAction {
  const daemon = random.getInteger(size.daemons);
  const server = random.getInteger(size.servers + PLAIN_SERVER_COUNT);
  const fault = LINK_FAULTS[random.getInteger(LINK_FAULTS.length)];
  const forMs = MIN_FAULT_DURATION_MS +
    random.getInteger(MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
  const silenceMs = SILENCE_DURATION_MS.min +
    random.getInteger(SILENCE_DURATION_MS.max - SILENCE_DURATION_MS.min);
  const actions: readonly SoakAction[] = [
    { kind: "kill", daemon },
    { kind: "stop", daemon },
    { kind: "stop", daemon },
    { kind: "pause", daemon, forMs },
    { kind: "store-link", daemon, fault, forMs },
    { kind: "store-link", daemon, fault, forMs },
    { kind: "server-link", server, fault, forMs },
    {
      kind: "store",
      fault: random.getFloat() < 0.5 ? "silent" : "busy",
      forMs,
    },
    { kind: "drop-history" },
    { kind: "crash-server", server },
    { kind: "crash-server", server },
    { kind: "silence-server", server, forMs: silenceMs },
    { kind: "silence-server", server, forMs: silenceMs },
    { kind: "drain-server", server },
    { kind: "late-orders", server },
    { kind: "lose-answers", server },
    { kind: "change-keys" },
    { kind: "change-keys" },
    { kind: "exclude-zone", forMs: forMs + MIN_EXCLUSION_DURATION_MS },
  ];
  return actions[random.getInteger(actions.length)];
}
