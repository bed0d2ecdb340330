/**
 * Event that may happen in a step of a path.
 *
 * - `none`: nothing.
 * - `crash-server`: a server's process ends.
 * - `return-server`: an ended server starts again with a new id.
 * - `return-same-id`: an ended server starts again with the same id.
 * - `silence-server`: a server sends and handles nothing for a time, and goes on.
 * - `pause-daemon`: a daemon's process stands still for a time.
 * - `kill-daemon`: a daemon's process ends and is started again.
 * - `stop-daemon`: a daemon releases its lease and is started again.
 * - `lose-write`: the next write of a daemon takes effect without an answer.
 * - `cut-store`: a daemon has no connection to the store for a time.
 * - `delay-list`: a daemon receives changes of the list of servers later.
 * - `cut-link`: the daemons receive nothing from each other for a time.
 * - `change-model`: another configuration is put into force.
 */
export type ExploredEvent =
  | { readonly kind: "none" }
  | {
    readonly kind: "crash-server" | "return-server" | "return-same-id";
    readonly index: number;
  }
  | {
    readonly kind: "silence-server";
    readonly index: number;
    readonly forMs: number;
  }
  | {
    readonly kind: "kill-daemon" | "stop-daemon" | "lose-write";
    readonly index: number;
  }
  | {
    readonly kind: "pause-daemon" | "cut-store" | "delay-list";
    readonly index: number;
    readonly forMs: number;
  }
  | { readonly kind: "cut-link"; readonly forMs: number }
  | { readonly kind: "change-model"; readonly index: number };

/** Times for which a server is silent, in milliseconds. A sound server may be silent for more than a second, and counts as ended after more than two. */
const SILENCES_MS = [500, 2_000];
/** Times for which a daemon stands still, in milliseconds: shorter and longer than the lease. */
const PAUSES_MS = [2_000, 6_000];
const STORE_CUT_MS = 5_000;
const LIST_DELAY_MS = 2_000;
/** Time for which the daemons are cut off from each other, in milliseconds: longer than a planner counts as known. */
const LINK_CUT_MS = 5_000;

/** Size of the explored world. */
export interface WorldSize {
  readonly daemons: number;
  readonly servers: number;
  readonly models: number;
}

/** Lists the events of a world. The first one is `none`. */
export function listEvents(size: WorldSize): readonly ExploredEvent[] {
  const servers = listIndexes(size.servers);
  const daemons = listIndexes(size.daemons);
  return [
    { kind: "none" },
    ...servers.flatMap((index): ExploredEvent[] => [
      { kind: "crash-server", index },
      { kind: "return-server", index },
      { kind: "return-same-id", index },
      ...SILENCES_MS.map((forMs): ExploredEvent => ({
        kind: "silence-server",
        index,
        forMs,
      })),
    ]),
    ...daemons.flatMap((index): ExploredEvent[] => [
      { kind: "kill-daemon", index },
      { kind: "stop-daemon", index },
      { kind: "lose-write", index },
      { kind: "cut-store", index, forMs: STORE_CUT_MS },
      { kind: "delay-list", index, forMs: LIST_DELAY_MS },
      ...PAUSES_MS.map((forMs): ExploredEvent => ({
        kind: "pause-daemon",
        index,
        forMs,
      })),
    ]),
    { kind: "cut-link", forMs: LINK_CUT_MS },
    ...listIndexes(size.models).map((index): ExploredEvent => ({
      kind: "change-model",
      index,
    })),
  ];
}

function listIndexes(length: number): number[] {
  return Array.from({ length }, (_, index) => index);
}

/** Describes an event for the table of a path. */
export function describeEvent(event: ExploredEvent): string {
  const target = "index" in event ? ` ${event.index}` : "";
  return `${event.kind}${target}${
    "forMs" in event ? ` for ${event.forMs} ms` : ""
  }`;
}
