// Small deployment for the cases 11, 12, 14 and 15: daemons as separate processes with
// the command of deploy/system.toml, store and servers from fakes/ in this one.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, get, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..");

async function importBuilt(path) {
  return await import(join(root, "dist", path));
}

/** Whether the run includes the disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; returns whether it did. */
export async function waitUntil(condition, timeoutMs) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await condition()) {
      return true;
    }
    await sleep(25);
  }
  return false;
}

async function findFreePorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () => resolve(server.address().port));
      })
    ),
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** Reads the command of the role from the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** One trial: record, stand-ins and daemons, and their end. */
export class Trial {
  #folder = mkdtempSync(join(tmpdir(), "review-3-"));
  #startedAtMs = performance.now();
  #recordFile;
  #requestCount = 0;
  daemons = [];
  fleet = new Map();
  runs = [];

  constructor(caseUrl) {
    this.#recordFile = join(dirname(fileURLToPath(caseUrl)), "record.txt");
    writeFileSync(
      this.#recordFile,
      `trouble: ${hasTrouble ? "yes" : "no"}\n`,
    );
  }

  record(text) {
    const seconds = (performance.now() - this.#startedAtMs) / 1_000;
    const line = `${seconds.toFixed(3).padStart(8)}  ${text}\n`;
    appendFileSync(this.#recordFile, line);
    process.stdout.write(line);
  }

  /** Starts the store with a configuration. */
  async startStore(config) {
    const { FakeObjectStore } = await importBuilt("fakes/fake_object_store.js");
    this.store = new FakeObjectStore();
    await this.store.start();
    this.store.putObject("config", "main", config);
  }

  async createConfig() {
    const { createPlatformConfig } = await importBuilt(
      "fakes/platform_documents.js",
    );
    return createPlatformConfig(1);
  }

  async addServer(options) {
    const { FakeBackendServer } = await importBuilt(
      "fakes/fake_backend_server.js",
    );
    const { store, fleet, runs } = this;
    const server = new FakeBackendServer({ ...options, store, fleet, runs });
    await server.start();
    return server;
  }

  /** Starts a daemon on a loopback address of its own. */
  async startDaemon({ name, ip, zone, storeAddress = this.store.address }) {
    const [front, ready, peer] = await findFreePorts(ip, 3);
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(
      file,
      JSON.stringify({
        NodeName: name,
        Role: "entry",
        MachineClass: "edge",
        Serves: ["edge"],
        Ip: ip,
        Zone: zone,
        Region: "r1",
        Zones: { z1: "r1", z2: "r1", z3: "r1" },
        Listen: { Front: `${ip}:${front}`, Ready: `${ip}:${ready}` },
        InternalPorts: [peer, peer + 1],
        Seeds: [],
        FirstStart: true,
        CountsAsLoss: false,
        Limits: {
          CpuShare: 0.675,
          CpuCores: 1,
          MemoryMb: 350,
          MaxFds: 4_100,
          LinkMbps: 1_000,
          DiskMb: 0,
        },
        DataDir: null,
        HeartbeatMs: 1_200,
        FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
        Bounds: {
          SeedLagS: 3,
          ReuseAfterS: 2,
          ContactMs: 3_000,
          DrainMs: 2_000,
          GraceS: 8,
          LossSlackMs: 200,
          ConfigMs: 2_000,
          RetryBudgetRatio: 0.2,
          BudgetWindowS: 10,
          RetrySlack: 105,
          ColdOverage: 1.5,
          ColdSlack: 5,
          EvacuateMs: 5_000,
          RecoveryS: 12,
          StallMs: 4_000,
          FenceChecked: true,
          CeilingWindowS: 5,
          CeilingOverage: 1.1,
        },
        PlatformApi: {
          Address: storeAddress,
          form: "objects",
          WritesPerS: 400,
          ReadsPerS: 2_000,
          HistoryS: 20,
          ValueBytes: 1_048_576,
        },
      }),
    );
    const daemon = {
      name,
      ip,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      metrics: `${ip}:9464`,
      file,
      log: "",
      exits: [],
    };
    this.daemons.push(daemon);
    this.#spawn(daemon);
    return daemon;
  }

  /** Starts the process of a daemon again with the same settings. */
  restartDaemon(daemon) {
    this.#spawn(daemon);
  }

  #spawn(daemon) {
    const [command, ...args] = readRunCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, args, {
      cwd: root,
      env: { PATH, HOME, LANG, TARRAGONTALLY_BOOT: daemon.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    daemon.child = child;
    daemon.isRunning = true;
    const collect = (data) => daemon.log += data;
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    daemon.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        daemon.isRunning = false;
        daemon.exits.push({ code, signal });
        this.record(`${daemon.name}: process ended, code ${code}, signal ${signal}`);
        resolve();
      })
    );
    this.record(`${daemon.name}: process ${child.pid} started`);
  }

  async isReady({ ready }) {
    return (await ask(ready, "/v1/ready")).status === 200;
  }

  /**
   * Sends a request as a client.
   *
   * @returns What the client saw: the status, the body, and whether it is complete.
   */
  send(daemon, { method, path, headers, body = "", agent, deadlineMs }) {
    const requestId = `c${++this.#requestCount}`;
    const [host, port] = daemon.front.split(":");
    const sentAtMs = performance.now();
    return new Promise((resolve) => {
      let text = "";
      const settle = (outcome) =>
        resolve({
          requestId,
          body: text,
          tookMs: Math.round(performance.now() - sentAtMs),
          ...outcome,
        });
      const req = request({
        host,
        port,
        method,
        path,
        agent: agent ?? false,
        headers: {
          Host: "app.example",
          "Request-Id": requestId,
          Credential: "key-1",
          "Deadline-Ms": String(deadlineMs ?? 4_000),
          ...headers,
          ...(body.length > 0 && { "Content-Length": String(body.length) }),
        },
      }, (res) => {
        res.on("data", (chunk) => text += chunk);
        res.on("end", () =>
          settle({ status: res.statusCode, isComplete: res.complete }));
        res.on("error", () =>
          settle({ status: res.statusCode, isComplete: false }));
      });
      req.on("error", (error) => settle({ error: error.code ?? error.message }));
      req.end(body);
    });
  }

  createKeptChannel() {
    return new Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Ends the daemons and the stand-ins, and removes the temporary folder. */
  async dispose() {
    for (const { child, isRunning } of this.daemons) {
      if (isRunning) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    await Promise.all(this.daemons.map(({ ended }) => ended));
    rmSync(this.#folder, { recursive: true, force: true });
    if (process.env.KEEP_LOGS !== undefined) {
      this.daemons.forEach(({ name, log }) =>
        writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), log)
      );
    }
  }
}

/** Sends a GET request, with the path as it is. */
export function ask(address, path) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const req = get({ host, port, path, agent: false, timeout: 2_000 }, (res) => {
      let body = "";
      res.on("data", (chunk) => body += chunk);
      res.on("end", () => resolve({ status: res.statusCode, body }));
      res.on("error", () => resolve({ error: "reset" }));
    });
    req.on("timeout", () => req.destroy(new Error("timeout")));
    req.on("error", (error) => resolve({ error: error.code ?? error.message }));
  });
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(caseUrl, run) {
  const trial = new Trial(caseUrl);
  const timer = setTimeout(() => {
    trial.record("could not run: the time of the case is over");
    trial.daemons.forEach(({ child }) => child?.kill("SIGKILL"));
    process.exit(2);
  }, 110_000);
  let code = 2;
  try {
    const isBroken = await run(trial);
    code = isBroken ? 1 : 0;
    trial.record(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    trial.record(`could not run: ${error.stack ?? error}`);
  }
  clearTimeout(timer);
  await trial.dispose();
  process.exit(code);
}
