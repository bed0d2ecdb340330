import { writeFile } from "node:fs/promises";
import type { Socket } from "node:net";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { HttpServer } from "../src/connection/http_server.ts";
import { createPeerApp } from "../src/connection/peer_app.ts";
import type { PeerClient } from "../src/connection/peer_clients.ts";
import type { Vm } from "../src/connection/vm_directory.ts";
import { createContainer, SERVICES } from "../src/process/container.ts";
import type { DaemonContext } from "../src/process/daemon_context.ts";
import { daemonSettingsSchema } from "../src/process/daemon_settings.ts";
import { getExchangeIntervalMs } from "../src/process/peer_exchange_task.ts";
import {
  choosePeers,
  chooseReaderPeers,
  chooseStoreReaders,
} from "../src/process/peer_selection.ts";
import { PeerSync } from "../src/process/peer_sync.ts";
import { configSchema } from "../src/version/config_schema.ts";
import type { PlacedGroup } from "../src/version/placement.ts";

const GROUPS = 150;
const VMS_PER_GROUP = 4;
const DOMAINS = 30;
const WARM_UP_EXCHANGES = 3_000;
const MEASURED_EXCHANGES = 2_000;
const INTERVAL_MS = 1_000;
const CROSS_REGION_ONE_WAY_MS = 100;
// An announcement and the fetch of the document after it: two round trips.
const ONE_WAYS_PER_HOP = 4;
const DEPLOYMENTS = [
  { daemons: 7, zones: 3, regions: 1 },
  { daemons: 60, zones: 3, regions: 1 },
  { daemons: 420, zones: 10, regions: 3 },
];

interface Deployment {
  readonly daemons: number;
  readonly zones: number;
  readonly regions: number;
}

/** Measured value with its unit. */
interface Figure {
  readonly daemons: number;
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

await runBench();

async function runBench(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("json", { type: "string", describe: "File for the figures" })
    .strict()
    .parse();
  const figures: Figure[] = [];
  for (const deployment of DEPLOYMENTS) {
    figures.push(...await measureDeployment(deployment));
  }
  for (const { daemons, name, value, unit } of figures) {
    print(`${daemons} daemons | ${name} | ${value} ${unit}`);
  }
  if (args.json !== undefined) {
    await writeFile(args.json, `${JSON.stringify(figures, null, 2)}\n`);
  }
}

async function measureDeployment(deployment: Deployment): Promise<Figure[]> {
  const vms = createVms(deployment);
  const sender = createContext(vms, 0);
  const answerer = createContext(vms, 1);
  const server = new HttpServer(createPeerApp(answerer));
  const sockets: Socket[] = [];
  server.server.on("connection", (socket) => sockets.push(socket));
  await server.listen({ host: "127.0.0.1", port: 0 });
  const count = () =>
    sockets.reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, 0);
  const { daemons } = deployment;
  const exchange = await measureExchange({ sender, server, count });
  const figures: Figure[] = [
    { daemons, name: "exchange", value: exchange.bytes, unit: "bytes" },
    {
      daemons,
      name: "exchange, both sides",
      value: exchange.cpuMicros,
      unit: "CPU microseconds",
    },
    ...await measureMessages({ daemons, sender, server, count }),
    ...measureRates(deployment, { vms, exchange }),
    ...measureSpread(deployment, vms),
  ];
  await sender.lifeCycle.dispose();
  await answerer.lifeCycle.dispose();
  await server.dispose();
  return figures;
}

interface Link {
  readonly sender: DaemonContext;
  readonly server: HttpServer;
  readonly count: () => number;
}

interface ExchangeCost {
  readonly bytes: number;
  readonly cpuMicros: number;
}

async function measureExchange(link: Link): Promise<ExchangeCost> {
  const sync = new PeerSync(link.sender);
  for (let index = 0; index < WARM_UP_EXCHANGES; index++) {
    await sync.syncPeer(link.server.address);
  }
  const bytesBefore = link.count();
  const cpuBefore = process.cpuUsage();
  for (let index = 0; index < MEASURED_EXCHANGES; index++) {
    await sync.syncPeer(link.server.address);
  }
  const cpu = process.cpuUsage(cpuBefore);
  return {
    bytes: Math.round((link.count() - bytesBefore) / MEASURED_EXCHANGES),
    cpuMicros: Math.round((cpu.user + cpu.system) / MEASURED_EXCHANGES),
  };
}

async function measureMessages(
  options: Link & { daemons: number },
): Promise<Figure[]> {
  const { daemons, sender, server, count } = options;
  const client = sender.peerClients.getClient(server.address);
  const from = sender.settings.name;
  const groupId = "group-1";
  const digest = sender.healthTable.getGroupDigest(groupId);
  const { state } = client;
  const messages: [string, (c: PeerClient["state"]) => Promise<unknown>][] = [
    ["getConfig", (c) => c.getConfig.query()],
    [
      "getPlacement of all domains",
      (c) => c.getPlacement.mutate({ known: [] }),
    ],
    ["getPlacement of one domain", (c) =>
      c.getPlacement.mutate({
        known: sender.placementHolder.getPlacements().slice(1).map((p) => ({
          fabricDomain: p.placement.fabricDomain,
          objectVersion: p.objectVersion,
        })),
      })],
    ["getGroupHealth of all groups", (c) => c.getGroupHealth.mutate({})],
    [
      "getGroupHealth of one group",
      (c) => c.getGroupHealth.mutate({ groupIds: [groupId] }),
    ],
    ["getVms", (c) => c.getVms.query()],
    ["announceConfig", (c) => c.announceConfig.mutate({ from, version: 1 })],
    [
      "announceGroupHealth of one group",
      (c) =>
        c.announceGroupHealth.mutate({ from, digests: [{ groupId, digest }] }),
    ],
    ["prepareConfig", (c) => c.prepareConfig.mutate({ version: 1 })],
    ["getConfigVersion", (c) => c.getConfigVersion.query()],
  ];
  const figures: Figure[] = [];
  for (const [name, send] of messages) {
    const before = count();
    await send(state);
    figures.push({ daemons, name, value: count() - before, unit: "bytes" });
  }
  return figures;
}

function measureRates(
  deployment: Deployment,
  options: { vms: readonly Vm[]; exchange: ExchangeCost },
): Figure[] {
  const { daemons } = deployment;
  const entryVms = options.vms.filter((vm) => vm.role === "entry");
  const readers = chooseStoreReaders(entryVms);
  const rates = new Map(entryVms.map((vm) => [vm.name, 0]));
  for (const vm of entryVms) {
    const input = { self: vm.name, zone: vm.zone, entryVms };
    const peers = choosePeers(input);
    const asked = new Set(chooseReaderPeers(input));
    for (const peer of peers) {
      const rate = 1_000 / getExchangeIntervalMs(peer, {
        intervalMs: INTERVAL_MS,
        peers,
        readers: asked,
        listedDaemonCount: daemons,
      });
      rates.set(vm.name, rates.get(vm.name)! + rate);
      rates.set(peer.name, rates.get(peer.name)! + rate);
    }
  }
  const values = [...rates.values()].sort((a, b) => a - b);
  const mean = values.reduce((sum, v) => sum + v, 0) / values.length;
  const most = values.at(-1)!;
  const { bytes, cpuMicros } = options.exchange;
  const figure = (name: string, value: number, unit: string): Figure => ({
    daemons,
    name,
    value: Math.round(value * 100) / 100,
    unit,
  });
  return [
    figure("exchanges of a daemon, started and answered, mean", mean, "/s"),
    figure("exchanges of the busiest daemon", most, "/s"),
    figure("bytes of exchanges, mean daemon", mean * bytes, "bytes/s"),
    figure("bytes of exchanges, busiest daemon", most * bytes, "bytes/s"),
    // The time of an exchange covers both sides; half of it counts for one daemon.
    figure(
      "CPU of exchanges, busiest daemon",
      most * cpuMicros / 2 / 10_000,
      "% of a core",
    ),
    figure("store readers", readers.size, ""),
    figure("store reads (config and placement polls)", readers.size * 2, "/s"),
    figure("VM list reads", readers.size, "/s"),
    figure("waiting watches", readers.size * 2, ""),
    figure("store writes in steady state", 0, "/s"),
  ];
}

/** Computes hops over the chosen peers from every daemon: announcements go one way, exchanges both ways. */
function measureSpread(
  deployment: Deployment,
  vms: readonly Vm[],
): Figure[] {
  const { daemons } = deployment;
  const entryVms = vms.filter((vm) => vm.role === "entry");
  const pushed = new Map<string, Set<string>>();
  const exchanged = new Map<string, Set<string>>();
  entryVms.forEach((vm) => {
    pushed.set(vm.name, new Set());
    exchanged.set(vm.name, new Set());
  });
  let longestIntervalMs = 0;
  for (const vm of entryVms) {
    const input = { self: vm.name, zone: vm.zone, entryVms };
    const peers = choosePeers(input);
    const readers = new Set(chooseReaderPeers(input));
    for (const peer of peers) {
      pushed.get(vm.name)!.add(peer.name);
      exchanged.get(vm.name)!.add(peer.name);
      exchanged.get(peer.name)!.add(vm.name);
      longestIntervalMs = Math.max(
        longestIntervalMs,
        getExchangeIntervalMs(peer, {
          intervalMs: INTERVAL_MS,
          peers,
          readers,
          listedDaemonCount: daemons,
        }),
      );
    }
  }
  const pushHops = getMostHops(pushed);
  const exchangeHops = getMostHops(exchanged);
  const hopMs = CROSS_REGION_ONE_WAY_MS * ONE_WAYS_PER_HOP;
  return [
    { daemons, name: "spread by announcements", value: pushHops, unit: "hops" },
    {
      daemons,
      name: "spread by announcements, 100 ms one way each",
      value: pushHops * hopMs,
      unit: "ms",
    },
    { daemons, name: "spread by exchanges", value: exchangeHops, unit: "hops" },
    {
      daemons,
      name: "spread by exchanges alone, longest interval each",
      value: exchangeHops * longestIntervalMs,
      unit: "ms",
    },
  ];
}

function getMostHops(graph: ReadonlyMap<string, ReadonlySet<string>>): number {
  let most = 0;
  for (const start of graph.keys()) {
    const hops = new Map([[start, 0]]);
    for (const [name, distance] of hops) {
      for (const next of graph.get(name)!) {
        if (!hops.has(next)) {
          hops.set(next, distance + 1);
        }
      }
    }
    const farthest = hops.size < graph.size
      ? Infinity
      : Math.max(...hops.values());
    most = Math.max(most, farthest);
  }
  return most;
}

function createVms(deployment: Deployment): Vm[] {
  const { daemons, zones, regions } = deployment;
  const entries = Array.from({ length: daemons }, (_, index): Vm => ({
    name: `entry-${index + 1}`,
    role: "entry",
    address: `10.${index % zones}.0.${Math.floor(index / zones) + 1}:7002`,
    zone: `region-${index % zones % regions + 1}-zone-${index % zones + 1}`,
    state: "live",
  }));
  const backends = Array.from(
    { length: GROUPS * VMS_PER_GROUP },
    (_, index): Vm => ({
      name: `gpu-${index + 1}`,
      role: "backend",
      address: `10.100.${index >> 8}.${index & 255}:9000`,
      zone: entries[index % zones].zone,
      fabricDomain: `rack-${index % DOMAINS + 1}`,
      state: "live",
    }),
  );
  return [...entries, ...backends];
}

function createContext(vms: readonly Vm[], index: number): DaemonContext {
  const context = createContainer(daemonSettingsSchema.parse({
    name: vms[index].name,
    zone: vms[index].zone,
    platformUrl: "http://127.0.0.1:9",
    logLevel: "error",
  })).get(SERVICES.context);
  context.vmTable.replace(vms);
  context.configHolder.offer({ version: 1, document: createConfig(vms) });
  for (let domain = 1; domain <= DOMAINS; domain++) {
    addDomain(context, { domain, vms });
  }
  setInterval(() => context.freshness.recordStoreRead(0), INTERVAL_MS).unref();
  context.freshness.recordStoreRead(0);
  return context;
}

function createConfig(vms: readonly Vm[]) {
  const zones = [...new Set(vms.map((vm) => vm.zone))];
  return configSchema.parse({
    schemaVersion: 1,
    zones: zones.map((name) => ({ name, region: "region-1" })),
    models: Array.from({ length: 10 }, (_, index) => ({
      name: `model-${index + 1}`,
      groupSizeVms: VMS_PER_GROUP,
      placements: zones.map((zone) => ({
        zones: [zone],
        count: Math.ceil(GROUPS / 10 / zones.length),
      })),
      slotsPerGroup: 64,
      kvTokensPerGroup: 1_000_000,
    })),
    clientAccounts: Array.from({ length: 10 }, (_, index) => ({
      name: `account-${index + 1}`,
      apiKeySha256: [String(index).repeat(64).slice(0, 64)],
    })),
  });
}

function addDomain(
  context: DaemonContext,
  options: { domain: number; vms: readonly Vm[] },
): void {
  const fabricDomain = `rack-${options.domain}`;
  const members = options.vms.filter((vm) => vm.fabricDomain === fabricDomain);
  const groupByVm: Record<string, string> = {};
  const groups: Record<string, PlacedGroup> = {};
  members.forEach((vm, index) => {
    const number = Math.floor(index / VMS_PER_GROUP) * DOMAINS + options.domain;
    const groupId = `group-${number}`;
    groupByVm[vm.name] = groupId;
    groups[groupId] ??= {
      groupId,
      model: "model-1",
      modelVersion: "1",
      zone: vm.zone,
      fabricDomain,
      generation: 1,
      phase: "serving",
      leader: vm.name,
      sizeVms: VMS_PER_GROUP,
    };
  });
  context.placementHolder.offer({
    objectVersion: 1,
    placement: {
      fabricDomain,
      zone: members[0].zone,
      lastGeneration: 1,
      groupByVm,
      groups,
    },
  });
  for (const groupId of Object.keys(groups)) {
    context.healthTable.offer({
      groupId,
      generation: 1,
      state: "ready",
      bootId: `${groups[groupId].leader}-1`,
      observer: "entry-1",
      sequence: 1,
      ageMs: 0,
      runningRequests: 32,
      heldTokens: 100_000,
      maxTokens: 1_000_000,
      tokenIntervalMs: 30,
    });
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
