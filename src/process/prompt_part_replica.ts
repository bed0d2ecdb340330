import type { Logger } from "../shared/logger.ts";
import { getHash32 } from "../shared/rendezvous_hash.ts";
import {
  MAX_SUSPECTS_PER_CRASH,
  type PartCrash,
  PromptPartQuarantine,
  type PromptPartReport,
} from "./fleet/prompt_part_quarantine.ts";
import type { PromptPartState } from "./prompt_part_state.ts";

/**
 * This daemon's copy of the suspected prompt parts of chat requests, which the daemons keep equal by gossip.
 *
 * @example
 * ```ts
 * replica.onChange(() => announce(replica.takeChanges()));
 * ```
 */
export class PromptPartReplica {
  readonly quarantine: PromptPartQuarantine;
  readonly #listeners: (() => void)[] = [];
  #taken: PromptPartReport = { crashes: [], successes: [] };
  /** Digest of the last report for which it was requested. */
  #digest: { readonly report: PromptPartReport; readonly value: number } = {
    report: this.#taken,
    value: getReportDigest(this.#taken),
  };

  constructor(logger: Logger) {
    this.quarantine = new PromptPartQuarantine({
      logger,
      onChange: () => this.#listeners.forEach((listener) => listener()),
    });
  }

  /** Registers a listener for every change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes the crashes and successes that are new since the last call, for the daemons that are told at once. */
  takeChanges(): PromptPartState {
    const previous = this.#taken;
    this.#taken = this.quarantine.getReport();
    return createState({
      crashes: listNew(previous.crashes, this.#taken.crashes),
      successes: listNew(previous.successes, this.#taken.successes),
    });
  }

  /** Gets all crashes and successes that count. */
  getState(): PromptPartState {
    return createState(this.quarantine.getReport());
  }

  /** Gets a digest of the state without ages. Daemons with equal states get equal digests. */
  getDigest(): number {
    const report = this.quarantine.getReport();
    if (this.#digest.report !== report) {
      this.#digest = { report, value: getReportDigest(report) };
    }
    return this.#digest.value;
  }

  /** Merges the state of a peer. The merge is idempotent. */
  merge({ crashes, successes }: PromptPartState): void {
    crashes.forEach((crash) => this.quarantine.applyCrash(crash));
    successes.forEach((success) => this.quarantine.applySuccess(success));
  }
}

function createState(
  { crashes, successes }: PromptPartReport,
): PromptPartState {
  const nowMs = performance.now();
  return {
    crashes: crashes.map(({ groupKey, parts, atMs }) => ({
      groupKey,
      parts: [...parts],
      ageMs: Math.max(0, nowMs - atMs),
    })),
    successes: [...successes],
  };
}

function listNew<Entry extends PartCrash | PromptPartReport["successes"][0]>(
  previous: readonly Entry[],
  current: readonly Entry[],
): Entry[] {
  const previousKeys = new Set(previous.map((e) => JSON.stringify(e)));
  return current.filter((e) => !previousKeys.has(JSON.stringify(e)));
}

function getReportDigest({ crashes, successes }: PromptPartReport): number {
  const suspects = new Map<string, string[]>();
  for (const { groupKey, parts } of crashes) {
    const lists = suspects.get(groupKey) ?? [];
    lists.push(parts.join(","));
    suspects.set(groupKey, lists);
  }
  // Daemons store different suspects of a crash that has too many, so only its key counts.
  const isFull = (groupKey: string) =>
    (suspects.get(groupKey)?.length ?? 0) >= MAX_SUSPECTS_PER_CRASH;
  const lines = [
    ...[...suspects].map(([groupKey, lists]) =>
      isFull(groupKey) ? groupKey : `${groupKey} ${lists.sort().join(" ")}`
    ),
    ...successes.filter(({ groupKey }) => !isFull(groupKey)).map((
      { groupKey, part, time },
    ) => `${groupKey} ${part} ${time}`),
  ];
  return getHash32(lines.sort().join("\n"));
}
