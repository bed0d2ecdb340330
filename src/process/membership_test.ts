import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Vm, VmState } from "../connection/vm_directory.ts";
import { ExchangeMembership } from "./membership.ts";
import { VmTable } from "./vm_table.ts";

const LIMIT_MS = 3_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function createVm(name: string, state: VmState = "live"): Vm {
  return { name, role: "entry", address: `${name}:1`, zone: "zone-a", state };
}

function createMembership(vms: readonly Vm[]): ExchangeMembership {
  const vmTable = new VmTable();
  vmTable.replace(vms);
  return new ExchangeMembership({
    ownName: "a",
    zone: "zone-a",
    vmTable,
    limitMs: LIMIT_MS,
  });
}

function createReport(incarnation: string, leaving = false) {
  return {
    name: "b",
    incarnation,
    leaving,
    configVersion: 1,
    requestedAtMs: performance.now(),
  };
}

describe("ExchangeMembership.getState", () => {
  // Guards against a lost daemon that counts as alive, and against a leaving daemon that receives work.
  it.each(
    [
      ["alive", "live", false, LIMIT_MS],
      ["suspect", "live", false, LIMIT_MS + 1],
      ["unreachable", "live", false, LIMIT_MS * 3 + 1],
      ["leaving", "leaving", false, 0],
      ["leaving", "live", true, 0],
    ] as const,
  )(
    "returns %s (listed as %s, reported as leaving: %s) after %s ms",
    (expected, listed, leaving, waitMs) => {
      const membership = createMembership([
        createVm("a"),
        createVm("b", listed),
      ]);
      expect(membership.getState("b")).toBe(
        listed === "leaving" ? "leaving" : "unreachable",
      );
      membership.recordReport(createReport("1", leaving));
      vi.advanceTimersByTime(waitMs);
      expect(membership.getState("b")).toBe(expected);
    },
  );
});

describe("ExchangeMembership.recordReport", () => {
  // Guards against treating a replacement daemon of the same name as the old process.
  it("returns true for a new process of the same name", () => {
    const membership = createMembership([createVm("a"), createVm("b")]);
    expect(membership.recordReport(createReport("1"))).toBe(true);
    expect(membership.recordReport(createReport("1"))).toBe(false);
    expect(membership.recordReport(createReport("2"))).toBe(true);
    expect(membership.getReport("b")?.incarnation).toBe("2");
  });

  // Guards against a response that arrives late and replaces a newer one.
  it("ignores an older report", () => {
    const membership = createMembership([createVm("a"), createVm("b")]);
    const olderReport = createReport("1");
    vi.advanceTimersByTime(1);
    membership.recordReport(createReport("2"));
    expect(membership.recordReport(olderReport)).toBe(false);
    expect(membership.getReport("b")?.incarnation).toBe("2");
  });
});

describe("ExchangeMembership.getListedNames", () => {
  // Guards against a daemon without a VM list that counts itself as the majority of one daemon.
  it("returns no names before the first VM list and includes this daemon afterwards", () => {
    expect(createMembership([]).getListedNames()).toEqual([]);
    expect(createMembership([createVm("b")]).getListedNames())
      .toEqual(["a", "b"]);
  });
});
