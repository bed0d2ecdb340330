// Starts the program of the deploy file as separate processes on loopback addresses, with the
// settings of a small deployment, and keeps the record of what was sent, answered and run.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store-2.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "..");
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const ZONES = ["zone-a", "zone-b", "zone-c"];
export const delay = (ms) => new Promise((done) => setTimeout(done, ms));

/** Bounds of both small sites, as SYSTEM.md names them. */
const BOUNDS = {
  SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000,
  GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000,
  StrictRevoke: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 105,
  ColdOverage: 1.5, ColdSlack: 5, EvacuateMs: 5000, RecoveryS: 12, PassMs: 120, RetryAfterS: 0,
  StallMs: 4000, FenceChecked: true, CeilingWindowS: 5, CeilingOverage: 1.1,
};

export const MODELS = [{ Name: "model-b", size: 2, Share: 1, pace: 0.6, LoadS: 12, WarmS: 1.1 }];

/** Creates a config with one model route, one route of each plain kind, and one tenant. */
export function createConfig(version, { stream = {}, idempotent = {}, nonIdempotent = {} } = {}) {
  const route = { Hostname: "app.example", Priority: 1, Public: false };
  return {
    Version: version,
    Routes: [
      { ...route, Name: "note", PathPrefix: "/note/", Kind: "streaming", Service: "llm", MaxAttempts: 2, TimeoutMs: 6000, TargetLatencyMs: 300, GapTargetMs: 300, Sticky: true, Resumable: true, ...stream },
      { ...route, Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 2000, TargetLatencyMs: 300, ...nonIdempotent },
      { ...route, Name: "look", PathPrefix: "/look/", Kind: "idempotent", Service: "app", MaxAttempts: 2, TimeoutMs: 2000, TargetLatencyMs: 300, ...idempotent },
    ],
    Services: [
      {
        Name: "llm", HealthPath: "/health", MaxConnections: 298, ColdStartS: 0, ColdPerS: 0,
        Engine: {
          Slots: 12, KvCapacity: 1312941, Stride: 5, Models: MODELS, step_ms: 7.8, per_seq_ms: 0.134,
          context_per_k: 0.0136, read_per_s: 45900, pairs_per_m: 0.433, chunk: 2048, report_lag_ms: 200,
          LoadsPerS: 5, loads_at_once: 7, usual: { prompt: 979, answer: 154 }, Keeps: 1, far_x: 2.5, FormMs: 300,
        },
      },
      { Name: "app", HealthPath: "/health", MaxConnections: 100, ColdStartS: 0, ColdPerS: 0 },
    ],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{ Name: "tenant-1", ApiKeys: ["key-1"], Priority: 1 }],
  };
}

export class Deployment {
  store = new Store();
  daemons = [];
  lines = [];
  #children = new Set();
  #startMs = Date.now();
  #folder;
  #recordFile;
  // An address block of the loopback network for this run, so that runs side by side share no port.
  #net = `127.${20 + (process.pid % 200)}.${(process.pid >> 4) % 250}`;
  #requests = 0;

  constructor(caseFolder) {
    this.#folder = mkdtempSync(join(tmpdir(), "review-"));
    this.#recordFile = join(caseFolder, "record.txt");
    const overtime = setTimeout(() => this.finish(2, "the script took longer than 115 s"), 115_000);
    overtime.unref();
    for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => this.finish(2, signal));
    process.on("uncaughtException", (error) => this.finish(2, error.stack));
  }

  get host() {
    return `${this.#net}.1`;
  }

  note(text) {
    const at = ((Date.now() - this.#startMs) / 1000).toFixed(3).padStart(8);
    this.lines.push(`${at} s  ${text}`);
  }

  async start({ daemons, config }) {
    await this.store.start(this.host);
    this.store.put("config", "main", config);
    for (let i = 0; i < daemons; i++) this.startDaemon(i);
    await this.#waitUntil(async () => (await Promise.all(this.daemons.map((d) => this.#isReady(d)))).every(Boolean), 20_000, "all machines ready");
  }

  startDaemon(index) {
    const ip = `${this.#net}.${10 + index}`;
    const name = `edge-${index}`;
    const file = join(this.#folder, `${name}.json`);
    const settings = {
      NodeName: name, Role: "entry", MachineClass: "edge", Serves: ["edge"], Ip: ip,
      Zone: ZONES[index % 3], Region: "region", Zones: Object.fromEntries(ZONES.map((z) => [z, "region"])),
      Listen: { Front: `${ip}:8227`, Ready: `${ip}:8220` }, InternalPorts: [7340, 7355], Seeds: [],
      FirstStart: true, CountsAsLoss: false,
      Limits: { CpuShare: 0.675, CpuCores: 1, MemoryMb: 350, MaxFds: 4200, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null, Discovery: "platform", Entry: "virtual_ip", HeartbeatMs: 1200,
      Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "gangs"],
      FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 }, Bounds: BOUNDS,
      PlatformApi: { Address: this.store.address, form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000 },
    };
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = readRunCommand();
    const child = this.#spawn(program, args, { TARRAGONTALLY_BOOT: file });
    child.stdout.resume();
    let errors = "";
    child.stderr.on("data", (text) => errors += text);
    const daemon = { name, ip, zone: ZONES[index % 3], front: `${ip}:8227`, ready: `${ip}:8220`, child, log: [] };
    child.stdout.on("data", (text) => daemon.log.push(String(text)));
    child.on("exit", (code, signal) => {
      if (!this.isFinished) this.note(`the process of ${name} ended: code ${code}, signal ${signal} ${errors}`);
    });
    this.daemons[index] = daemon;
    this.note(`${name} started on ${ip}`);
    return daemon;
  }

  /** Starts a stand-in server as a process of its own. */
  async startServerProcess(options) {
    const child = this.#spawn("node", [join(ROOT, "review/server-2.mjs"), JSON.stringify({ host: this.host, store: this.store.address, models: MODELS, ...options })], {});
    const server = { id: options.id, child, events: [] };
    let rest = "";
    await new Promise((resolve) => {
      child.stdout.on("data", (text) => {
        const parts = (rest + text).split("\n");
        rest = parts.pop();
        for (const line of parts) {
          const event = JSON.parse(line);
          if (event.what === "started") resolve();
          server.events.push(event);
          options.onEvent?.(event);
        }
      });
    });
    return server;
  }

  #spawn(program, args, env) {
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, { cwd: ROOT, env: { PATH, HOME, LANG, ...env }, stdio: ["ignore", "pipe", "pipe"] });
    this.#children.add(child);
    child.on("exit", () => this.#children.delete(child));
    child.on("error", (error) => this.finish(2, error.stack));
    return child;
  }

  #isReady({ ready }) {
    const [host, port] = ready.split(":");
    return new Promise((resolve) => {
      const req = request({ host, port, path: "/v1/ready", agent: false, timeout: 1000 }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
      req.end();
    });
  }

  async #waitUntil(check, timeoutMs, what) {
    const endMs = Date.now() + timeoutMs;
    while (!await check()) {
      if (Date.now() > endMs) return this.finish(2, `not reached within ${timeoutMs} ms: ${what}`);
      await delay(100);
    }
  }

  waitUntil(check, timeoutMs, what) {
    return this.#waitUntil(check, timeoutMs, what);
  }

  get requestCount() {
    return this.#requests;
  }

  /** Sends one client attempt on a new channel and returns what the client sees. */
  send(daemon, { method = "POST", path, body = "", headers = {}, deadlineMs = 4000, isQuiet = false }) {
    const id = `r${String(++this.#requests).padStart(12, "0")}`;
    const [host, port] = daemon.front.split(":");
    const sentAtMs = Date.now();
    if (!isQuiet) this.note(`${id} ${method} ${path} sent to ${daemon.name}`);
    return new Promise((resolve) => {
      const answer = { id, daemon: daemon.name, sentAtMs, body: "", isComplete: false };
      let isSettled = false;
      const settle = () => {
        if (isSettled) return;
        isSettled = true;
        clearTimeout(timer);
        answer.atMs = Date.now();
        if (!isQuiet) this.note(`${id} gets ${answer.status ?? "no answer"}${answer.status === undefined ? "" : answer.isComplete ? ", complete" : ", cut"} after ${answer.atMs - sentAtMs} ms`);
        resolve(answer);
      };
      const req = request({
        host, port, method, path, agent: false,
        headers: { Host: "app.example", "Request-Id": id, "Deadline-Ms": deadlineMs, Credential: "key-1", ...headers },
      }, (res) => {
        answer.status = res.statusCode;
        answer.headers = res.headers;
        res.on("data", (chunk) => answer.body += chunk);
        res.on("end", () => {
          answer.isComplete = res.complete;
          settle();
        });
        res.on("error", settle);
      });
      const timer = setTimeout(() => req.destroy(), deadlineMs);
      req.on("error", settle);
      req.on("close", settle);
      req.end(method === "GET" ? undefined : body);
    });
  }

  sendStream(daemon, options = {}) {
    return this.send(daemon, {
      path: "/note/1",
      body: "prompt",
      deadlineMs: 6000,
      ...options,
      headers: { Model: MODELS[0].Name, "Token-Usage": "674,175", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:634", ...options.headers },
    });
  }

  /** Sends a model request until the model is served, as the traffic starts only after the machines. */
  async waitForModel() {
    await this.#waitUntil(async () => {
      const answers = await Promise.all(this.daemons.map((d) => this.sendStream(d, { isQuiet: true })));
      return answers.every(({ status, isComplete }) => status === 200 && isComplete);
    }, 40_000, "the model is served by all machines");
  }

  /** Ends all processes, writes the record and exits. */
  finish(code, verdict) {
    if (this.isFinished) return;
    this.isFinished = true;
    const word = ["the rule held", "THE RULE WAS BROKEN", "the case could not run"][code];
    this.note(`${word}: ${verdict}`);
    this.#children.forEach((child) => {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    });
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
    writeFileSync(this.#recordFile, `${this.lines.join("\n")}\n`);
    console.log(`${word}: ${verdict}`);
    process.exit(code);
  }
}

/** Reads the command of the only role in the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}
