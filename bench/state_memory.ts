import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Vm } from "../src/connection/vm_directory.ts";
import { GroupHealthTable } from "../src/process/group_health.ts";
import { VmTable } from "../src/process/vm_table.ts";
import { Timeline } from "../src/shared/timeline.ts";
import type { DomainPlacement, PlacedGroup } from "../src/version/placement.ts";
import { PlacementHolder } from "../src/version/placement_holder.ts";

const GROUP_SIZE_VMS = 4;
const GROUPS_PER_DOMAIN = 4;
const TIMELINE_EVENTS = 4_096;
const BYTES_PER_KB = 1_024;

/** Size of the deployment whose state one measurement covers. */
interface StateSize {
  readonly daemons: number;
  readonly groups: number;
}

const SIZES: readonly StateSize[] = [
  { daemons: 7, groups: 15 },
  { daemons: 60, groups: 75 },
  { daemons: 420, groups: 150 },
];

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

for (const size of SIZES) {
  const row = {
    ...size,
    vmTableKb: measureHeapKb(() => createVmTable(size)),
    placementsKb: measureHeapKb(() => createPlacementHolder(size)),
    healthKb: measureHeapKb(() => createHealthTable(size)),
    timelineKb: measureHeapKb(createTimeline),
  };
  process.stdout.write(`${JSON.stringify(row)}\n`);
}

/** Measures the heap memory that a value retains, in KB. The first creation is not measured, since it also allocates compiled code. */
function measureHeapKb(create: () => unknown): number {
  create();
  collectGarbage();
  collectGarbage();
  const usedBytesBefore = process.memoryUsage().heapUsed;
  const value = create();
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - usedBytesBefore;
  // Refers to the value after the measurement, so that it is not collected before.
  if (value === undefined) {
    throw new Error("The measured value is missing");
  }
  return Math.round(bytes / BYTES_PER_KB);
}

function createVmTable(size: StateSize): VmTable {
  const table = new VmTable();
  const entries = Array.from(
    { length: size.daemons },
    (_, index) => createVm(`entry-${index}`, "entry"),
  );
  const backends = Array.from(
    { length: size.groups * GROUP_SIZE_VMS },
    (_, index) => createVm(`gpu-${index}`, "backend"),
  );
  table.replace([...entries, ...backends]);
  return table;
}

function createVm(name: string, role: Vm["role"]): Vm {
  return {
    name,
    role,
    address: `10.0.0.1:${name}`,
    zone: `zone-${name.length}`,
    fabricDomain: role === "backend" ? `rack-${name}` : undefined,
    state: "live",
  };
}

function createPlacementHolder(size: StateSize): PlacementHolder {
  const holder = new PlacementHolder();
  const domains = Math.ceil(size.groups / GROUPS_PER_DOMAIN);
  for (let domain = 0; domain < domains; domain++) {
    holder.offer({ objectVersion: 1, placement: createPlacement(domain) });
  }
  return holder;
}

function createPlacement(domain: number): DomainPlacement {
  const groups: Record<string, PlacedGroup> = {};
  const groupByVm: Record<string, string> = {};
  for (let index = 0; index < GROUPS_PER_DOMAIN; index++) {
    const groupId = `rack-${domain}-${index}`;
    for (let member = 0; member < GROUP_SIZE_VMS; member++) {
      groupByVm[`gpu-${domain}-${index}-${member}`] = groupId;
    }
    groups[groupId] = {
      groupId,
      model: "model-1",
      modelVersion: "1",
      zone: "zone-a",
      fabricDomain: `rack-${domain}`,
      generation: index,
      phase: "serving",
      leader: `gpu-${domain}-${index}-0`,
      sizeVms: GROUP_SIZE_VMS,
    };
  }
  return {
    fabricDomain: `rack-${domain}`,
    zone: "zone-a",
    lastGeneration: GROUPS_PER_DOMAIN,
    groupByVm,
    groups,
  };
}

function createHealthTable(size: StateSize): GroupHealthTable {
  const table = new GroupHealthTable();
  for (let index = 0; index < size.groups; index++) {
    table.offer({
      groupId: `rack-${index}`,
      generation: 1,
      state: "ready",
      bootId: `boot-${index}`,
      observer: `entry-${index}`,
      sequence: 1,
      ageMs: 0,
      runningRequests: 8,
      heldTokens: 10_000,
      maxTokens: 100_000,
      tokenIntervalMs: 30,
    });
  }
  return table;
}

function createTimeline(): Timeline {
  const timeline = new Timeline("entry-1");
  for (let index = 0; index < TIMELINE_EVENTS; index++) {
    timeline.record({
      event: "attempt-started",
      requestId: `request-${index}`,
      fields: { attempt: 1, group: "rack-1-1", generation: index },
    });
  }
  return timeline;
}
