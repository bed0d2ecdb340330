import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type {
  FakeBackendServer,
  PauseForm,
} from "../fakes/fake_backend_server.ts";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

const SEED = 44;
/** Bounds of the time for which sound servers send nothing, in milliseconds. */
const SILENCE_MS = { min: 1_000, max: 1_900 };
/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 45;
/** Number of streams that run at the same time; half of the places of all groups. */
const STREAM_COUNT = 8;
/** Number of events of a stream. */
const EVENT_COUNT = 20;
/** Time for which the event loop of the daemon is late, in milliseconds, and time between two such delays. */
const LOOP_DELAY = { forMs: 120, everyMs: 200 };

/** Silence of sound servers. */
interface Silence {
  /** Ranks of the members that fall silent in each group. */
  readonly ranks: readonly number[];
  readonly form?: PauseForm;
  /** Whether the silent servers drain meanwhile, so that their groups are closed. */
  readonly isDraining?: boolean;
  /** Whether the event loop of the daemon is late meanwhile. */
  readonly isLoopLate?: boolean;
  readonly maxAttempts?: number;
}

// Guards against streams that are cut because their sound servers send nothing for up to 1.9 s.
describe("sound servers that send nothing for a time", () => {
  const deployment = new PlatformDeployment();
  let seed = SEED;

  beforeAll(async () => {
    await deployment.start({ daemons: 1, models: 8, eventMs: EVENT_MS });
  });
  afterAll(() => deployment.dispose());

  /** Returns the next number of a seeded sequence, from 0 to 1. */
  function generateNumber(): number {
    seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
    return seed / 2 ** 31;
  }

  function generateSilenceMs(): number {
    const { min, max } = SILENCE_MS;
    return min + generateNumber() * (max - min);
  }

  function listHeads(): FakeBackendServer[] {
    return [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0 && group.State === "open"
    );
  }

  /** Delays the event loop again and again until the signal aborts. */
  async function delayLoop(signal: AbortSignal): Promise<void> {
    while (await delay(LOOP_DELAY.everyMs, signal)) {
      const endMs = performance.now() + LOOP_DELAY.forMs;
      while (performance.now() < endMs) {
        // Blocks the event loop.
      }
    }
  }

  /** Lets two groups with streams fall silent, and returns the responses. */
  async function doTest(silence: Silence): Promise<CallerResponse[]> {
    deployment.writeConfig({
      Routes: createPlatformConfig(1).Routes.map((route) => ({
        ...route,
        MaxAttempts: silence.maxAttempts ?? 2,
      })),
    });
    await waitUntil(() => listHeads().length === 4);
    await deployment.waitUntilServing();
    const runsBefore = deployment.runs.length;
    const responses = Array.from(
      { length: STREAM_COUNT },
      () => deployment.callModel(),
    );
    await delay(4 * EVENT_MS + generateNumber() * EVENT_MS);
    const controller = new AbortController();
    const lateness = silence.isLoopLate
      ? delayLoop(controller.signal)
      : Promise.resolve();
    const runHeadIds = new Set(
      deployment.runs.slice(runsBefore).map(({ serverId }) => serverId),
    );
    const heads = [...runHeadIds].slice(0, 2).map((id) =>
      deployment.fleet.get(id)!
    );
    expect(heads).toHaveLength(2);
    const servers = heads.flatMap(({ group }) =>
      silence.ranks.map((rank) => deployment.fleet.get(group!.members[rank])!)
    );
    heads.forEach((head) => head.pauseForm = silence.form ?? "between events");
    const pauses = servers.map((server) => server.pause(generateSilenceMs()));
    if (silence.isDraining) {
      servers.forEach((server) => server.drain());
    }
    await Promise.all(pauses);
    controller.abort();
    await lateness;
    return await Promise.all(responses);
  }

  it.each<[name: string, silence: Silence]>([
    ["between events", { ranks: [0] }],
    ["inside an event, at a route with one attempt", {
      ranks: [0],
      form: "inside an event",
      maxAttempts: 1,
    }],
    ["before all events at once", { ranks: [0], form: "before a burst" }],
    ["at both members of a group", { ranks: [0, 1] }],
    ["while the event loop is late", {
      ranks: [0],
      isLoopLate: true,
      maxAttempts: 1,
    }],
    ["while they drain", { ranks: [0], isDraining: true, maxAttempts: 1 }],
  ])("cut no stream %s", async (_, silence) => {
    const responses = await doTest(silence);
    const outcomes = responses.map(({ status, isWhole, body }) => ({
      status,
      isWhole,
      ids: [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)),
    }));
    const ids = Array.from({ length: EVENT_COUNT }, (_, i) => i + 1);
    expect(outcomes).toEqual(
      outcomes.map(() => ({ status: 200, isWhole: true, ids })),
    );
  }, 20_000);
});
