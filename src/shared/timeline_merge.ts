import type { TimelineEvent } from "./timeline.ts";

/**
 * Merges the events of several processes in causal order: by logical timestamp, then by wall clock, then by process.
 *
 * Events of one process keep their order, and an event that a message caused follows the event that sent it.
 *
 * @param sources - Events of each process.
 * @example
 * ```ts
 * const events = mergeTimelines([entry1.getEvents(), entry2.getEvents()]);
 * ```
 */
export function mergeTimelines(
  sources: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  return sources.flat().sort(compareEvents);
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return a.lamport - b.lamport || a.timeMs - b.timeMs ||
    compareText(a.process, b.process);
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
