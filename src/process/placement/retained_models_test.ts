import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { ENGINE } from "../../../tests/support/planned_fleet.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { NullLogger } from "../../shared/logger.ts";
import { RetainedModels } from "./retained_models.ts";

/** Time to load the model with the longer load, in milliseconds. */
const LOAD_MS = 16_000;

function createDomain(
  count: number,
  server: Partial<BackendServer> = { stagedModels: ["large"] },
): BackendServer[] {
  return Array.from(
    { length: count },
    (_, i) => createBackendServer({ id: `s${i}`, domain: "d", ...server }),
  );
}

describe("RetainedModels", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const logger = new NullLogger();

  function createUpdate(assignments = new Map([["d", "large"]])) {
    const retainedModels = new RetainedModels({ logger });
    return (servers: BackendServer[], removedServers: BackendServer[] = []) =>
      retainedModels.update(ENGINE, { servers, removedServers, assignments })
        .get("d");
  }

  // Guards against a domain that comes back from an outage of seconds and has to load another model, although its servers have the weights of the first.
  it("retains the model while the entries of a domain lapse and return", () => {
    const update = createUpdate();
    expect(update(createDomain(10))).toBeUndefined();
    for (const count of [3, 1, 0, 1, 2, 3]) {
      vi.advanceTimersByTime(1_000);
      expect(update(createDomain(count))).toBe(
        count === 0 ? undefined : "large",
      );
    }
    expect(update(createDomain(10))).toBeUndefined();
  });

  // Guards against a domain that never serves again: it keeps the few servers that it has left.
  it("releases the model after the time in which another one is loaded", () => {
    const update = createUpdate();
    update(createDomain(10));
    expect(update(createDomain(3))).toBe("large");
    vi.advanceTimersByTime(LOAD_MS - 1);
    expect(update(createDomain(3))).toBe("large");
    vi.advanceTimersByTime(1);
    expect(update(createDomain(3))).toBeUndefined();
  });

  // Guards against a model that is released while its first servers return after a long outage.
  it("counts only the time in which some servers are registered", () => {
    const update = createUpdate();
    update(createDomain(10));
    update(createDomain(3));
    update([]);
    vi.advanceTimersByTime(10 * LOAD_MS);
    update([]);
    expect(update(createDomain(3))).toBe("large");
  });

  // Guards against a planner that takes over during an outage and assigns the model by the servers that are left.
  it("goes by the staged weights of removed servers without an assignment", () => {
    const update = createUpdate(new Map());
    const empty = createDomain(2, { stagedModels: [] });
    expect(update(empty, createDomain(8))).toBe("large");
    expect(createUpdate(new Map())(empty)).toBeUndefined();
  });

  it("retains no model for which a domain never had enough servers", () => {
    expect(createUpdate()(createDomain(3))).toBeUndefined();
  });

  it("retains no model that is not in the configuration", () => {
    const update = createUpdate(new Map([["d", "removed"]]));
    expect(update(createDomain(3), createDomain(8))).toBeUndefined();
  });
});
