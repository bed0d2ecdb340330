import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { VmTable } from "../process/vm_table.ts";
import { serviceSchema } from "../version/config_schema.ts";
import { BackendPool } from "./backend_pool.ts";

const NO_ADDRESSES: ReadonlySet<string> = new Set();
const FIRST_ADDRESS = "10.0.0.1:80";
const SECOND_ADDRESS = "10.0.0.2:80";

describe("BackendPool.tryAcquire", () => {
  let vmTable: VmTable;
  let excludedZones: Set<string>;
  let pool: BackendPool;
  const service = serviceSchema.parse({
    name: "bookings",
    backends: [
      { address: FIRST_ADDRESS, zone: "zone-a" },
      { address: SECOND_ADDRESS, zone: "zone-b" },
    ],
    maxConcurrent: 2,
  });

  beforeEach(() => {
    vi.useFakeTimers();
    vmTable = new VmTable();
    excludedZones = new Set();
    pool = new BackendPool({
      vmTable,
      zonePolicy: {
        takesNewWork: (zone) => !excludedZones.has(zone),
        getNextChange: () => undefined,
      },
    });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest(
    count: number,
    triedAddresses: ReadonlySet<string> = NO_ADDRESSES,
  ): string[] {
    return Array.from(
      { length: count },
      () => pool.tryAcquire(service, triedAddresses)?.address ?? "none",
    ).sort();
  }

  // Guards against sending more concurrent calls to a backend server than it can handle.
  it("spreads calls up to the concurrency limit", () => {
    expect(doTest(5)).toEqual(
      [FIRST_ADDRESS, FIRST_ADDRESS, SECOND_ADDRESS, SECOND_ADDRESS, "none"]
        .sort(),
    );
  });

  // Guards against sending new calls to a zone that is out of service.
  it("skips zones that take no new work", () => {
    excludedZones.add("zone-a");
    expect(doTest(3)).toEqual([SECOND_ADDRESS, SECOND_ADDRESS, "none"]);
  });

  // Guards against sending new calls to a backend server that is being removed.
  it("skips backend servers on leaving VMs", () => {
    vmTable.replace([{
      name: "app-1",
      role: "backend",
      address: FIRST_ADDRESS,
      zone: "zone-a",
      state: "leaving",
    }]);
    expect(doTest(1)).toEqual([SECOND_ADDRESS]);
  });

  // Guards against sending calls to a failed backend server while another one works.
  it("temporarily avoids a failed backend server", () => {
    excludedZones.add("zone-b");
    pool.tryAcquire(service, NO_ADDRESSES)?.release("failed");
    excludedZones.clear();
    expect(doTest(2)).toEqual([SECOND_ADDRESS, SECOND_ADDRESS]);
    vi.advanceTimersByTime(2_001);
    expect(doTest(1)).toEqual([FIRST_ADDRESS]);
  });

  // Guards against retrying at the backend server that has just refused the call.
  it("prefers backend servers that were not tried", () => {
    expect(doTest(2, new Set([FIRST_ADDRESS]))).toEqual([
      SECOND_ADDRESS,
      SECOND_ADDRESS,
    ]);
  });

  // Guards against slots that are never released or are released twice.
  it("releases a slot only once", () => {
    const lease = pool.tryAcquire(service, NO_ADDRESSES)!;
    lease.release("answered");
    lease.release("answered");
    expect(pool.getRunningCount(lease.address)).toBe(0);
  });
});
