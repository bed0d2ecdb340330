import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { VmTable } from "../process/vm_table.ts";
import { serviceSchema } from "../version/config_schema.ts";
import { BackendPool } from "./backend_pool.ts";

const NONE: ReadonlySet<string> = new Set();
const FIRST = "10.0.0.1:80";
const SECOND = "10.0.0.2:80";

describe("BackendPool.tryAcquire", () => {
  let vmTable: VmTable;
  let zonesOut: Set<string>;
  let pool: BackendPool;
  const service = serviceSchema.parse({
    name: "bookings",
    backends: [
      { address: FIRST, zone: "zone-a" },
      { address: SECOND, zone: "zone-b" },
    ],
    maxConcurrent: 2,
  });

  beforeEach(() => {
    vi.useFakeTimers();
    vmTable = new VmTable();
    zonesOut = new Set();
    pool = new BackendPool({
      vmTable,
      zonePolicy: {
        takesNewWork: (zone) => !zonesOut.has(zone),
        getNextChange: () => undefined,
      },
    });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest(count: number, tried: ReadonlySet<string> = NONE): string[] {
    return Array.from(
      { length: count },
      () => pool.tryAcquire(service, tried)?.address ?? "none",
    ).sort();
  }

  // Guards against more calls than a backend server bears.
  it("spreads calls up to the bound", () => {
    expect(doTest(5)).toEqual([FIRST, FIRST, SECOND, SECOND, "none"].sort());
  });

  // Guards against new work in a zone that is out of service.
  it("avoids zones that take no new work", () => {
    zonesOut.add("zone-a");
    expect(doTest(3)).toEqual([SECOND, SECOND, "none"]);
  });

  // Guards against new work on a leaving backend server.
  it("avoids leaving VMs", () => {
    vmTable.replace([{
      name: "app-1",
      role: "backend",
      address: FIRST,
      zone: "zone-a",
      state: "leaving",
    }]);
    expect(doTest(1)).toEqual([SECOND]);
  });

  // Guards against calls that go to a broken backend server while another one works.
  it("avoids a failed backend server for a time", () => {
    zonesOut.add("zone-b");
    pool.tryAcquire(service, NONE)?.release("failed");
    zonesOut.clear();
    expect(doTest(2)).toEqual([SECOND, SECOND]);
    vi.advanceTimersByTime(2_001);
    expect(doTest(1)).toEqual([FIRST]);
  });

  // Guards against a retry at the backend server that just refused the call.
  it("prefers backend servers that were not tried", () => {
    expect(doTest(2, new Set([FIRST]))).toEqual([SECOND, SECOND]);
  });

  // Guards against slots that are lost or given back twice.
  it("gives a slot back once", () => {
    const lease = pool.tryAcquire(service, NONE)!;
    lease.release("answered");
    lease.release("answered");
    expect(pool.getRunning(lease.address)).toBe(0);
  });
});
