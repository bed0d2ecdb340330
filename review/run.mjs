// Start and end of a scripted case: record, daemons of the deploy file, client requests.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, get, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const REPOSITORY = resolve(dirname(fileURLToPath(import.meta.url)), "..");
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Bounds of the small deployment hbw-tally, as its settings file states them. */
export const BOUNDS = {
  SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000,
  GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000,
  StrictRevoke: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10,
  RetrySlack: 105, ColdOverage: 1.5, ColdSlack: 5, EvacuateMs: 5000, RecoveryS: 12,
  PassMs: 120, RetryAfterS: 0, StallMs: 4000, FenceChecked: true, CeilingWindowS: 5,
  CeilingOverage: 1.1,
};
export const HEARTBEAT_MS = 1200;
export const HOST = "ficu95.example";
/** Longest time that a case may take, in milliseconds. */
const MAX_RUN_MS = 115_000;

export const delay = (ms) => new Promise((done) => setTimeout(done, ms));

/** Waits until a condition holds; throws after the time limit. */
export async function waitUntil(what, condition, timeoutMs = 30_000) {
  const endMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > endMs) throw new Error(`timed out: ${what}`);
    await delay(50);
  }
}

/** One run of a case. */
export class Run {
  #children = new Set();
  #closers = [];
  #startedAtMs = performance.now();

  constructor(directory) {
    this.recordFile = join(directory, "record.txt");
    writeFileSync(this.recordFile, `trouble=${HAS_TROUBLE ? 1 : 0}\n`);
    this.temporary = mkdtempSync(join(tmpdir(), "tarragontally-review-"));
    setTimeout(() => {
      this.record("end", "the time limit of the case was reached");
      this.finish(2);
    }, MAX_RUN_MS).unref();
    for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => this.finish(2));
    // Also when the run ends by an error of its own.
    process.on("exit", () => this.#killChildren());
    process.on("uncaughtException", (error) => {
      this.#killChildren();
      this.record("error", error.stack);
      this.finish(2);
    });
  }

  /** Time since the start of the run, in milliseconds. */
  get nowMs() {
    return performance.now() - this.#startedAtMs;
  }

  record(what, text = "") {
    appendFileSync(
      this.recordFile,
      `${(this.nowMs / 1000).toFixed(3)} ${what} ${typeof text === "string" ? text : JSON.stringify(text)}\n`,
    );
  }

  onEnd(close) {
    this.#closers.push(close);
  }

  /** Ends all processes of the run, and exits: 0 rule held, 1 rule broken, 2 not run. */
  finish(code) {
    this.#killChildren();
    for (const close of this.#closers) close();
    rmSync(this.temporary, { recursive: true, force: true });
    this.record("exit", String(code));
    console.log(`exit ${code}; see ${this.recordFile}`);
    process.exit(code);
  }

  #killChildren() {
    for (const child of this.#children) child.kill("SIGKILL");
  }

  /** Starts a daemon with the command of the deploy file on a loopback address of its own, and waits until it is ready. */
  async startDaemon({ name, zone, ip, storeAddress }) {
    const daemon = new Daemon(this, { name, zone, ip, storeAddress, children: this.#children });
    daemon.start();
    await waitUntil(`${name} ready`, () => daemon.isReady());
    this.record("daemon-ready", `${name} ${ip}`);
    return daemon;
  }
}

class Daemon {
  #run;
  #children;
  #child;
  #settingsFile;

  constructor(run, { name, zone, ip, storeAddress, children }) {
    this.#run = run;
    this.#children = children;
    this.name = name;
    this.ip = ip;
    this.#settingsFile = join(run.temporary, `${name}.json`);
    writeFileSync(this.#settingsFile, JSON.stringify({
      NodeName: name, Role: "entry", MachineClass: "edge", Serves: ["edge"], Ip: ip, Zone: zone,
      Region: "kyushu", Zones: { "kyushu-a": "kyushu", "kyushu-b": "kyushu", "kyushu-c": "kyushu" },
      Listen: { Front: `${ip}:8227`, Ready: `${ip}:8220` }, InternalPorts: [7340, 7355], Seeds: [],
      FirstStart: true, CountsAsLoss: false,
      Limits: { CpuShare: 0.675, CpuCores: 1, MemoryMb: 350, MaxFds: 4200, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null, Discovery: "platform", Entry: "virtual_ip", HeartbeatMs: HEARTBEAT_MS,
      FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 }, Bounds: BOUNDS,
      PlatformApi: { Address: storeAddress, form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000 },
    }));
  }

  start() {
    const deploy = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const child = spawn(program, args, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, TARRAGONTALLY_BOOT: this.#settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#children.add(child);
    child.on("exit", (code, signal) => {
      this.#children.delete(child);
      this.#run.record("daemon-exit", `${this.name} code=${code} signal=${signal}`);
    });
    const onLines = (chunk) => {
      for (const line of String(chunk).split("\n")) {
        if (KEPT_LOG_LINES.test(line)) this.#run.record("log", `${this.name} ${line.slice(0, 400)}`);
      }
    };
    child.stdout.on("data", onLines);
    child.stderr.on("data", onLines);
    this.#run.record("daemon-start", `${this.name} pid=${child.pid}`);
  }

  /** Planned restart: SIGTERM, SIGKILL after `GraceS`, then a new process with the same settings. */
  async restart({ onTerm = () => {} } = {}) {
    const child = this.#child;
    const exit = new Promise((done) => child.once("exit", done));
    this.#run.record("sigterm", this.name);
    child.kill("SIGTERM");
    onTerm();
    const timer = setTimeout(() => child.kill("SIGKILL"), BOUNDS.GraceS * 1000);
    await exit;
    clearTimeout(timer);
    await delay(300);
    this.start();
    await waitUntil(`${this.name} ready again`, () => this.isReady());
    this.readySinceMs = this.#run.nowMs;
    this.#run.record("daemon-ready", `${this.name} again`);
  }

  isReady() {
    return new Promise((done) => {
      const req = get({ host: this.ip, port: 8220, path: "/v1/ready", agent: false, timeout: 500 }, (res) => {
        res.resume();
        done(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => done(false));
    });
  }
}

const KEPT_LOG_LINES =
  /config-in-force|store-lost|store-regained|lease-acquired|lease-dropped|crash-recorded|prompt-part|daemon-started|daemon-stopped|process-failed|task-failed|zones-excluded|server-limit|group-formed/;

/** Chooses a /24 of loopback addresses whose daemon ports are free. */
export async function chooseNetwork(count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}`;
    const checks = [];
    for (let i = 1; i <= count; i++) {
      for (const port of [8227, 8220, 7340, 9464]) checks.push(isFree(`${network}.${i}`, port));
    }
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error("no free loopback network");
}

function isFree(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once("error", () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

let requestCount = 0;

/**
 * Sends one client attempt and resolves with what the client saw. The client leaves after its time budget.
 */
export function sendRequest(run, daemon, { method, path, key, deadlineMs, headers = {}, body = "", id, agent, waitMs = deadlineMs, label = "" }) {
  const requestId = id ?? `c${(++requestCount).toString(16).padStart(6, "0")}`;
  const sentAtMs = run.nowMs;
  return new Promise((done) => {
    let isSettled = false;
    let text = "";
    const settle = (outcome) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      const result = { requestId, sentAtMs, tookMs: run.nowMs - sentAtMs, daemon: daemon.name, body: text, ...outcome };
      run.record("client", { id: requestId, at: Math.round(sentAtMs), took: Math.round(result.tookMs), daemon: daemon.name, path, label, status: outcome.status, end: outcome.end, code: outcome.code });
      done(result);
    };
    const req = request({
      host: daemon.ip, port: 8227, method, path, agent: agent ?? new Agent(),
      headers: { Host: HOST, "Request-Id": requestId, ...(key ? { Credential: key } : {}), "Deadline-Ms": String(deadlineMs), ...headers, ...(body ? { "Content-Length": Buffer.byteLength(body) } : {}) },
    }, (res) => {
      res.on("data", (chunk) => text += chunk);
      const end = () => settle({ status: res.statusCode, end: res.complete ? "complete" : "cut", signature: res.headers["response-signature"], code: /"code":"([^"]+)"/.exec(text)?.[1] });
      res.on("end", end);
      res.on("error", end);
      res.on("close", end);
    });
    req.on("error", (error) => settle({ status: undefined, end: error.code ?? error.message }));
    const timer = setTimeout(() => {
      settle({ status: undefined, end: "unanswered" });
      req.destroy();
    }, waitMs);
    req.end(body);
  });
}
