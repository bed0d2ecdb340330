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

const GROUP_COUNT = 150;
const VMS_PER_GROUP = 4;
const FABRIC_DOMAIN_COUNT = 30;
const WARM_UP_EXCHANGES = 3_000;
const MEASURED_EXCHANGES = 2_000;
const SYNC_INTERVAL_MS = 1_000;
const CROSS_REGION_ONE_WAY_MS = 100;
/** One-way delays of a hop, which takes two round trips: the announcement, and the request for the announced document. */
const ONE_WAY_DELAYS_PER_HOP = 4;
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

/** Named value with its unit, for one number of daemons. */
interface Measurement {
  readonly daemons: number;
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

await runBench();

async function runBench(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("json", {
      type: "string",
      describe: "Output file for the measurements as JSON",
    })
    .strict()
    .parse();
  const measurements: Measurement[] = [];
  for (const deployment of DEPLOYMENTS) {
    measurements.push(...await measureDeployment(deployment));
  }
  for (const { daemons, name, value, unit } of measurements) {
    print(`${daemons} daemons | ${name} | ${value} ${unit}`);
  }
  if (args.json !== undefined) {
    await writeFile(args.json, `${JSON.stringify(measurements, null, 2)}\n`);
  }
}

async function measureDeployment(
  deployment: Deployment,
): Promise<Measurement[]> {
  const vms = createVms(deployment);
  const sender = createContext(vms, 0);
  const responder = createContext(vms, 1);
  const server = new HttpServer(createPeerApp(responder));
  const sockets: Socket[] = [];
  server.server.on("connection", (socket) => sockets.push(socket));
  await server.listen({ host: "127.0.0.1", port: 0 });
  const countBytes = () =>
    sockets.reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, 0);
  const { daemons } = deployment;
  const exchange = await measureExchange({ sender, server, countBytes });
  const measurements: Measurement[] = [
    { daemons, name: "exchange", value: exchange.bytes, unit: "bytes" },
    {
      daemons,
      name: "exchange, both sides",
      value: exchange.cpuUs,
      unit: "CPU microseconds",
    },
    ...await measureMessages({ daemons, sender, server, countBytes }),
    ...measureRates(deployment, { vms, exchange }),
    ...measurePropagation(deployment, vms),
  ];
  await sender.lifeCycle.dispose();
  await responder.lifeCycle.dispose();
  await server.dispose();
  return measurements;
}

/** Peer connection from a daemon to the server of another one, whose bytes are counted. */
interface MeasuredLink {
  readonly sender: DaemonContext;
  readonly server: HttpServer;
  readonly countBytes: () => number;
}

/** Mean cost of one exchange, sender and responder together. */
interface ExchangeCost {
  readonly bytes: number;
  readonly cpuUs: number;
}

async function measureExchange(link: MeasuredLink): Promise<ExchangeCost> {
  const sync = new PeerSync(link.sender);
  for (let index = 0; index < WARM_UP_EXCHANGES; index++) {
    await sync.syncPeer(link.server.address);
  }
  const bytesBefore = link.countBytes();
  const cpuBefore = process.cpuUsage();
  for (let index = 0; index < MEASURED_EXCHANGES; index++) {
    await sync.syncPeer(link.server.address);
  }
  const cpu = process.cpuUsage(cpuBefore);
  return {
    bytes: Math.round((link.countBytes() - bytesBefore) / MEASURED_EXCHANGES),
    cpuUs: Math.round((cpu.user + cpu.system) / MEASURED_EXCHANGES),
  };
}

async function measureMessages(
  options: MeasuredLink & { daemons: number },
): Promise<Measurement[]> {
  const { daemons, sender, server, countBytes } = options;
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
  const measurements: Measurement[] = [];
  for (const [name, send] of messages) {
    const bytesBefore = countBytes();
    await send(state);
    measurements.push({
      daemons,
      name,
      value: countBytes() - bytesBefore,
      unit: "bytes",
    });
  }
  return measurements;
}

function measureRates(
  deployment: Deployment,
  options: { vms: readonly Vm[]; exchange: ExchangeCost },
): Measurement[] {
  const { daemons } = deployment;
  const entryVms = options.vms.filter((vm) => vm.role === "entry");
  const storeReaders = chooseStoreReaders(entryVms);
  const rates = new Map(entryVms.map((vm) => [vm.name, 0]));
  for (const vm of entryVms) {
    const input = { ownName: vm.name, zone: vm.zone, entryVms };
    const peers = choosePeers(input);
    const readerPeers = new Set(chooseReaderPeers(input));
    for (const peer of peers) {
      const rate = 1_000 / getExchangeIntervalMs(peer, {
        intervalMs: SYNC_INTERVAL_MS,
        peers,
        readers: readerPeers,
        listedDaemonCount: daemons,
      });
      rates.set(vm.name, rates.get(vm.name)! + rate);
      rates.set(peer.name, rates.get(peer.name)! + rate);
    }
  }
  const sortedRates = [...rates.values()].sort((a, b) => a - b);
  const meanRate = sortedRates.reduce((sum, v) => sum + v, 0) /
    sortedRates.length;
  const maxRate = sortedRates.at(-1)!;
  const { bytes, cpuUs: cpuMicros } = options.exchange;
  const createMeasurement = (
    name: string,
    value: number,
    unit: string,
  ): Measurement => ({
    daemons,
    name,
    value: Math.round(value * 100) / 100,
    unit,
  });
  return [
    createMeasurement(
      "exchanges of a daemon, started and answered, mean",
      meanRate,
      "/s",
    ),
    createMeasurement("exchanges of the busiest daemon", maxRate, "/s"),
    createMeasurement(
      "bytes of exchanges, mean daemon",
      meanRate * bytes,
      "bytes/s",
    ),
    createMeasurement(
      "bytes of exchanges, busiest daemon",
      maxRate * bytes,
      "bytes/s",
    ),
    // The CPU time of an exchange is that of both daemons; half of it is attributed to each.
    createMeasurement(
      "CPU of exchanges, busiest daemon",
      maxRate * cpuMicros / 2 / 10_000,
      "% of a core",
    ),
    createMeasurement("store readers", storeReaders.size, ""),
    createMeasurement(
      "store reads (config and placement polls)",
      storeReaders.size * 2,
      "/s",
    ),
    createMeasurement("VM list reads", storeReaders.size, "/s"),
    createMeasurement("waiting watches", storeReaders.size * 2, ""),
    createMeasurement("store writes in steady state", 0, "/s"),
  ];
}

/** Computes the number of hops after which data from any daemon has reached all others. Announcements go only from a daemon to its chosen peers; exchanges carry data in both directions. */
function measurePropagation(
  deployment: Deployment,
  vms: readonly Vm[],
): Measurement[] {
  const { daemons } = deployment;
  const entryVms = vms.filter((vm) => vm.role === "entry");
  const announcementTargets = new Map<string, Set<string>>();
  const exchangePartners = new Map<string, Set<string>>();
  entryVms.forEach((vm) => {
    announcementTargets.set(vm.name, new Set());
    exchangePartners.set(vm.name, new Set());
  });
  let longestIntervalMs = 0;
  for (const vm of entryVms) {
    const input = { ownName: vm.name, zone: vm.zone, entryVms };
    const peers = choosePeers(input);
    const readerPeers = new Set(chooseReaderPeers(input));
    for (const peer of peers) {
      announcementTargets.get(vm.name)!.add(peer.name);
      exchangePartners.get(vm.name)!.add(peer.name);
      exchangePartners.get(peer.name)!.add(vm.name);
      longestIntervalMs = Math.max(
        longestIntervalMs,
        getExchangeIntervalMs(peer, {
          intervalMs: SYNC_INTERVAL_MS,
          peers,
          readers: readerPeers,
          listedDaemonCount: daemons,
        }),
      );
    }
  }
  const announcementHops = getMaxHops(announcementTargets);
  const exchangeHops = getMaxHops(exchangePartners);
  const hopMs = CROSS_REGION_ONE_WAY_MS * ONE_WAY_DELAYS_PER_HOP;
  return [
    {
      daemons,
      name: "spread by announcements",
      value: announcementHops,
      unit: "hops",
    },
    {
      daemons,
      name: "spread by announcements, 100 ms one way each",
      value: announcementHops * hopMs,
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

/** Gets the largest distance between two nodes of a directed graph; infinite when a node cannot be reached. */
function getMaxHops(graph: ReadonlyMap<string, ReadonlySet<string>>): number {
  let maxHops = 0;
  for (const start of graph.keys()) {
    const hops = new Map([[start, 0]]);
    for (const [name, distance] of hops) {
      for (const neighbour of graph.get(name)!) {
        if (!hops.has(neighbour)) {
          hops.set(neighbour, distance + 1);
        }
      }
    }
    const hopsToFarthest = hops.size < graph.size
      ? Infinity
      : Math.max(...hops.values());
    maxHops = Math.max(maxHops, hopsToFarthest);
  }
  return maxHops;
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
    { length: GROUP_COUNT * VMS_PER_GROUP },
    (_, index): Vm => ({
      name: `gpu-${index + 1}`,
      role: "backend",
      address: `10.100.${index >> 8}.${index & 255}:9000`,
      zone: entries[index % zones].zone,
      fabricDomain: `rack-${index % FABRIC_DOMAIN_COUNT + 1}`,
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
  for (let domain = 1; domain <= FABRIC_DOMAIN_COUNT; domain++) {
    addFabricDomain(context, { domain, vms });
  }
  setInterval(() => context.freshness.recordStoreRead(0), SYNC_INTERVAL_MS)
    .unref();
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
        count: Math.ceil(GROUP_COUNT / 10 / zones.length),
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

function addFabricDomain(
  context: DaemonContext,
  options: { domain: number; vms: readonly Vm[] },
): void {
  const fabricDomain = `rack-${options.domain}`;
  const domainVms = options.vms.filter((vm) =>
    vm.fabricDomain === fabricDomain
  );
  const groupByVm: Record<string, string> = {};
  const groups: Record<string, PlacedGroup> = {};
  domainVms.forEach((vm, index) => {
    const groupNumber =
      Math.floor(index / VMS_PER_GROUP) * FABRIC_DOMAIN_COUNT +
      options.domain;
    const groupId = `group-${groupNumber}`;
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
      zone: domainVms[0].zone,
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
