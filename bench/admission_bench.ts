import "reflect-metadata";
import { writeFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { choosePreferredGroup } from "../src/process/admission/group_selector.ts";
import { ShareCalculator } from "../src/process/admission/share_calculator.ts";
import { CapacityLedger } from "../src/process/admission/capacity_ledger.ts";
import {
  type BenchDaemon,
  POLICIES,
  type Policy,
  PolicyModel,
} from "./admission_policies.ts";

const GROUPS = 150;
const WHOLE = { slots: 16, tokens: 100_000 };
const COST = { slots: 1, tokens: 1_000 };
const STEP_MS = 100;
const REQUEST_STEPS = 30;
const LIST_LAG_MS = 1_000;
const CHURN_STEPS = 25;
const HOLD_DOWN_MS = 2 * (LIST_LAG_MS + STEP_MS);
const OFFERED_LOAD = 0.9;
const WARM_UP_STEPS = 60;

/** Result for one policy and number of daemons. */
interface BenchRow {
  readonly daemons: number;
  readonly policy: Policy;
  readonly decisionUs: number;
  readonly shareUs: number;
  /** Part of the time and groups in which a group held more than it bears. */
  readonly overAdmitted: number;
  readonly peakLoad: number;
  readonly utilisation: number;
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
    confirmed: new Map(),
  };
}

const GROUP_KEYS = Array.from({ length: GROUPS }, (_, index) => ({
  groupId: `group-${index}`,
  zone: `zone-${index % 10}`,
}));

function measureTimes(
  daemons: number,
): { decisionUs: number; shareUs: number } {
  const list = Array.from(
    { length: daemons },
    (_, i) => createDaemon(i).candidate,
  );
  const rounds = Math.max(3, Math.round(1_000 / daemons));
  let startedAtMs = performance.now();
  for (let round = 0; round < rounds; round++) {
    const calculator = new ShareCalculator({ name: "entry-0", holdDownMs: 0 });
    calculator.observeVmList(list);
    GROUP_KEYS.forEach((group) => calculator.getOwnPartitions(group));
  }
  const shareUs = (performance.now() - startedAtMs) * 1_000 /
    (rounds * GROUPS);
  const ledger = new CapacityLedger();
  GROUP_KEYS.forEach((g) => ledger.setOwnShare(g.groupId, WHOLE));
  const decisions = 5_000;
  startedAtMs = performance.now();
  for (let index = 0; index < decisions; index++) {
    const candidates = GROUP_KEYS.map((g) => ({
      ...g,
      load: ledger.getUsedCapacity(g.groupId).slots,
    }));
    const preference = { zone: "zone-1", prefixHash: index };
    const chosen = choosePreferredGroup(candidates, preference)!;
    if (ledger.tryAcquire(chosen.groupId, COST, 0)) {
      ledger.release(chosen.groupId, COST);
    }
  }
  const decisionUs = (performance.now() - startedAtMs) * 1_000 / decisions;
  return { decisionUs, shareUs };
}

function measurePolicy(
  policy: Policy,
  options: { daemons: number; steps: number; seed: number },
): Omit<BenchRow, "decisionUs" | "shareUs"> {
  const random = createRandom(options.seed);
  let nowMs = 0;
  const realNow = performance.now;
  performance.now = () => nowMs;
  const model = new PolicyModel(policy, { whole: WHOLE, cost: COST });
  const daemons = new Map<string, BenchDaemon>();
  let nextIndex = 0;
  const start = () => {
    const daemon = createDaemon(nextIndex++);
    daemons.set(daemon.candidate.name, daemon);
  };
  for (let index = 0; index < options.daemons; index++) {
    start();
  }
  const history = [[...daemons.values()].map((d) => d.candidate)];
  const running = new Map(
    GROUP_KEYS.map((g) => [
      g.groupId,
      new Set<{
        daemon: BenchDaemon;
        endStep: number;
        end: () => void;
      }>(),
    ]),
  );
  let [asked, refused, over, load, peak, measured] = [0, 0, 0, 0, 0, 0];
  const perStep = GROUPS * WHOLE.slots * OFFERED_LOAD / REQUEST_STEPS;
  for (let step = 0; step < options.steps; step++) {
    nowMs += STEP_MS;
    if (step >= WARM_UP_STEPS && step % CHURN_STEPS === 0) {
      const names = [...daemons.keys()];
      daemons.delete(names[Math.floor(random() * names.length)]);
      start();
    }
    history.push([...daemons.values()].map((d) => d.candidate));
    for (const daemon of daemons.values()) {
      const lag = Math.floor(random() * LIST_LAG_MS / STEP_MS);
      daemon.calculator.observeVmList(history[Math.max(0, step + 1 - lag)]);
    }
    for (const requests of running.values()) {
      for (const request of requests) {
        const dead = !daemons.has(request.daemon.candidate.name);
        if (dead || request.endStep <= step) {
          requests.delete(request);
          request.end();
        }
      }
    }
    const alive = [...daemons.values()];
    for (let index = 0; index < perStep; index++) {
      const daemon = alive[Math.floor(random() * alive.length)];
      const group = GROUP_KEYS[Math.floor(random() * GROUPS)];
      const grant = model.tryAcquire(daemon, {
        group,
        groups: GROUP_KEYS,
        daemons,
        untilMs: nowMs + REQUEST_STEPS * STEP_MS,
      });
      asked++;
      if (grant === undefined) {
        refused++;
      } else {
        running.get(grant.groupId)!.add({
          daemon,
          end: () => grant.end(),
          endStep: step + REQUEST_STEPS,
        });
      }
    }
    if (step >= WARM_UP_STEPS) {
      for (const requests of running.values()) {
        measured++;
        over += requests.size > WHOLE.slots ? 1 : 0;
        load += Math.min(requests.size, WHOLE.slots);
        peak = Math.max(peak, requests.size);
      }
    }
  }
  performance.now = realNow;
  return {
    daemons: options.daemons,
    policy,
    overAdmitted: over / measured,
    peakLoad: peak / WHOLE.slots,
    utilisation: load / measured / WHOLE.slots,
    refused: refused / asked,
    messagesPerRequest: model.messages / asked,
    bytesPerRequest: model.bytes / asked,
  };
}

function runBench(): void {
  const args = yargs(hideBin(process.argv))
    .option("json", { type: "string", describe: "File for the rows" })
    .option("seed", { type: "number", default: 1 })
    .option("steps", { type: "number", default: 300 })
    .strict()
    .parseSync();
  const rows: BenchRow[] = [];
  for (const daemons of [7, 60, 420]) {
    const times = measureTimes(daemons);
    for (const policy of POLICIES) {
      const { steps, seed } = args;
      const measured = measurePolicy(policy, { daemons, steps, seed });
      rows.push({ ...measured, ...times });
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
