import "reflect-metadata";
import { writeFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { choosePreferredGroup } from "../src/process/admission/group_selector.ts";
import { ShareCalculator } from "../src/process/admission/share_calculator.ts";
import { CapacityLedger } from "../src/process/admission/capacity_ledger.ts";
import {
  ADMISSION_POLICIES,
  type AdmissionPolicy,
  type BenchDaemon,
  PolicyModel,
} from "./admission_policies.ts";

const GROUP_COUNT = 150;
const GROUP_CAPACITY = { slots: 16, tokens: 100_000 };
const REQUEST_COST = { slots: 1, tokens: 1_000 };
const STEP_MS = 100;
const REQUEST_DURATION_STEPS = 30;
const MAX_VM_LIST_LAG_MS = 1_000;
const DAEMON_REPLACEMENT_INTERVAL_STEPS = 25;
const HOLD_DOWN_MS = 2 * (MAX_VM_LIST_LAG_MS + STEP_MS);
const OFFERED_LOAD = 0.9;
const WARM_UP_STEPS = 60;

/** Result for one policy and number of daemons. */
interface BenchRow {
  readonly daemons: number;
  readonly policy: AdmissionPolicy;
  /** Mean time to choose a group and acquire capacity for one request, in microseconds. */
  readonly decisionUs: number;
  /** Mean time to compute the daemon's partitions of one group, in microseconds. */
  readonly shareUs: number;
  /** Share of the samples, one per group and step, in which a group had more requests than slots. */
  readonly overAdmitted: number;
  /** Largest number of requests of a group, divided by its slots. */
  readonly peakLoad: number;
  /** Mean share of the slots that were in use. */
  readonly utilisation: number;
  /** Share of the requests that were refused. */
  readonly refused: number;
  readonly messagesPerRequest: number;
  readonly bytesPerRequest: number;
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function createDaemon(index: number): BenchDaemon {
  const name = `entry-${index}`;
  return {
    candidate: { name, zone: `zone-${index % 10}` },
    calculator: new ShareCalculator({ name, holdDownMs: HOLD_DOWN_MS }),
    ledger: new CapacityLedger(),
    grantsByGroup: new Map(),
    confirmedPartitions: new Map(),
  };
}

const GROUP_LOCATIONS = Array.from({ length: GROUP_COUNT }, (_, index) => ({
  groupId: `group-${index}`,
  zone: `zone-${index % 10}`,
}));

function measureTimes(
  daemons: number,
): { decisionUs: number; shareUs: number } {
  const vmList = Array.from(
    { length: daemons },
    (_, i) => createDaemon(i).candidate,
  );
  const rounds = Math.max(3, Math.round(1_000 / daemons));
  let startedAtMs = performance.now();
  for (let round = 0; round < rounds; round++) {
    const calculator = new ShareCalculator({ name: "entry-0", holdDownMs: 0 });
    calculator.observeVmList(vmList);
    GROUP_LOCATIONS.forEach((group) => calculator.getOwnPartitions(group));
  }
  const shareUs = (performance.now() - startedAtMs) * 1_000 /
    (rounds * GROUP_COUNT);
  const ledger = new CapacityLedger();
  GROUP_LOCATIONS.forEach((g) => ledger.setOwnShare(g.groupId, GROUP_CAPACITY));
  const decisions = 5_000;
  startedAtMs = performance.now();
  for (let index = 0; index < decisions; index++) {
    const candidates = GROUP_LOCATIONS.map((g) => ({
      ...g,
      load: ledger.getUsedCapacity(g.groupId).slots,
    }));
    const preference = { zone: "zone-1", prefixHash: index };
    const chosenGroup = choosePreferredGroup(candidates, preference)!;
    if (ledger.tryAcquire(chosenGroup.groupId, REQUEST_COST, 0)) {
      ledger.release(chosenGroup.groupId, REQUEST_COST);
    }
  }
  const decisionUs = (performance.now() - startedAtMs) * 1_000 / decisions;
  return { decisionUs, shareUs };
}

function measurePolicy(
  policy: AdmissionPolicy,
  options: { daemons: number; steps: number; seed: number },
): Omit<BenchRow, "decisionUs" | "shareUs"> {
  const random = createRandom(options.seed);
  let nowMs = 0;
  // Replaces the clock, so that calculators, ledgers and loans use the simulated time.
  const originalNow = performance.now;
  performance.now = () => nowMs;
  const model = new PolicyModel(policy, {
    groupCapacity: GROUP_CAPACITY,
    requestCost: REQUEST_COST,
  });
  const daemons = new Map<string, BenchDaemon>();
  let nextDaemonIndex = 0;
  const addDaemon = () => {
    const daemon = createDaemon(nextDaemonIndex++);
    daemons.set(daemon.candidate.name, daemon);
  };
  for (let index = 0; index < options.daemons; index++) {
    addDaemon();
  }
  const vmListHistory = [[...daemons.values()].map((d) => d.candidate)];
  const requestsByGroup = new Map(
    GROUP_LOCATIONS.map((g) => [
      g.groupId,
      new Set<{
        daemon: BenchDaemon;
        endStep: number;
        release: () => void;
      }>(),
    ]),
  );
  let [
    requestCount,
    refusedCount,
    overAdmittedCount,
    usedSlots,
    peakSlots,
    sampleCount,
  ] = [
    0,
    0,
    0,
    0,
    0,
    0,
  ];
  const requestsPerStep = GROUP_COUNT * GROUP_CAPACITY.slots * OFFERED_LOAD /
    REQUEST_DURATION_STEPS;
  for (let step = 0; step < options.steps; step++) {
    nowMs += STEP_MS;
    if (
      step >= WARM_UP_STEPS && step % DAEMON_REPLACEMENT_INTERVAL_STEPS === 0
    ) {
      const names = [...daemons.keys()];
      daemons.delete(names[Math.floor(random() * names.length)]);
      addDaemon();
    }
    vmListHistory.push([...daemons.values()].map((d) => d.candidate));
    for (const daemon of daemons.values()) {
      const lagSteps = Math.floor(random() * MAX_VM_LIST_LAG_MS / STEP_MS);
      daemon.calculator.observeVmList(
        vmListHistory[Math.max(0, step + 1 - lagSteps)],
      );
    }
    for (const requests of requestsByGroup.values()) {
      for (const request of requests) {
        const hasDaemonStopped = !daemons.has(request.daemon.candidate.name);
        if (hasDaemonStopped || request.endStep <= step) {
          requests.delete(request);
          request.release();
        }
      }
    }
    const runningDaemons = [...daemons.values()];
    for (let index = 0; index < requestsPerStep; index++) {
      const daemon =
        runningDaemons[Math.floor(random() * runningDaemons.length)];
      const group = GROUP_LOCATIONS[Math.floor(random() * GROUP_COUNT)];
      const grant = model.tryAcquire(daemon, {
        group,
        groups: GROUP_LOCATIONS,
        daemons,
        untilMs: nowMs + REQUEST_DURATION_STEPS * STEP_MS,
      });
      requestCount++;
      if (grant === undefined) {
        refusedCount++;
      } else {
        requestsByGroup.get(grant.groupId)!.add({
          daemon,
          release: () => grant.release(),
          endStep: step + REQUEST_DURATION_STEPS,
        });
      }
    }
    if (step >= WARM_UP_STEPS) {
      for (const requests of requestsByGroup.values()) {
        sampleCount++;
        overAdmittedCount += requests.size > GROUP_CAPACITY.slots ? 1 : 0;
        usedSlots += Math.min(requests.size, GROUP_CAPACITY.slots);
        peakSlots = Math.max(peakSlots, requests.size);
      }
    }
  }
  performance.now = originalNow;
  return {
    daemons: options.daemons,
    policy,
    overAdmitted: overAdmittedCount / sampleCount,
    peakLoad: peakSlots / GROUP_CAPACITY.slots,
    utilisation: usedSlots / sampleCount / GROUP_CAPACITY.slots,
    refused: refusedCount / requestCount,
    messagesPerRequest: model.messageCount / requestCount,
    bytesPerRequest: model.byteCount / requestCount,
  };
}

function runBench(): void {
  const args = yargs(hideBin(process.argv))
    .option("json", {
      type: "string",
      describe: "Output file for the rows as JSON",
    })
    .option("seed", { type: "number", default: 1 })
    .option("steps", { type: "number", default: 300 })
    .strict()
    .parseSync();
  const rows: BenchRow[] = [];
  for (const daemons of [7, 60, 420]) {
    const times = measureTimes(daemons);
    for (const policy of ADMISSION_POLICIES) {
      const { steps, seed } = args;
      const policyRow = measurePolicy(policy, { daemons, steps, seed });
      rows.push({ ...policyRow, ...times });
    }
  }
  console.table(rows.map((row) => ({
    ...row,
    decisionUs: row.decisionUs.toFixed(1),
    shareUs: row.shareUs.toFixed(1),
    overAdmitted: row.overAdmitted.toFixed(4),
    utilisation: row.utilisation.toFixed(3),
    refused: row.refused.toFixed(3),
    messagesPerRequest: row.messagesPerRequest.toFixed(2),
    bytesPerRequest: row.bytesPerRequest.toFixed(0),
  })));
  if (args.json !== undefined) {
    writeFileSync(args.json, `${JSON.stringify(rows, null, 2)}\n`);
  }
}

runBench();
