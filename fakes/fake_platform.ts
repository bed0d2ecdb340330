import express, { type Express, type Request, type Response } from "express";
import type {
  StoredObject,
  WatchEvent,
} from "../src/connection/object_store.ts";
import type { Vm } from "../src/connection/vm_directory.ts";
import { delay } from "../src/shared/delay.ts";
import {
  applyFaultsBeforeRequest,
  type CommonFaults,
  createCommonFaults,
  takeDroppedResponse,
} from "./fault_switches.ts";
import { HttpListener } from "./http_listener.ts";

const MAX_VALUE_BYTES = 1_048_576;
const MAX_WATCH_EVENTS = 10_000;

/** Fault switches of the platform. */
export interface PlatformFaults extends CommonFaults {
  /** Delay of watch events in milliseconds. */
  watchLagMs: number;
  /** Number of upcoming watch events that are dropped without informing the watchers. */
  skipWatchEvents: number;
  /** Age of the returned VM list in milliseconds. */
  vmListLagMs: number;
  /** Whether the platform becomes unavailable after it drops a response, so that the write cannot be read back. */
  downAfterDrop: boolean;
  /** Object kind to which the common faults apply; empty for all requests. */
  faultKind: string;
}

/** Number of requests of each type since the start. */
export interface PlatformCallCounts {
  reads: number;
  writes: number;
  watches: number;
  conflicts: number;
  vmLists: number;
  weightFetches: number;
}

interface LoggedEvent {
  kind: string;
  event: WatchEvent;
  atMs: number;
}

interface VmListVersion {
  atMs: number;
  vms: Vm[];
}

/** Fake of the platform's object API, VM list and rate-limited weight store. */
export class FakePlatform {
  readonly faults: PlatformFaults = {
    ...createCommonFaults(),
    watchLagMs: 0,
    skipWatchEvents: 0,
    vmListLagMs: 0,
    downAfterDrop: false,
    faultKind: "",
  };
  readonly counts: PlatformCallCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    conflicts: 0,
    vmLists: 0,
    weightFetches: 0,
  };
  /** Duration of one fetch from the weight store, in milliseconds; fetches run one after the other. */
  weightFetchMs = 50;

  readonly #objects = new Map<string, StoredObject>();
  readonly #eventLog: LoggedEvent[] = [];
  readonly #wakeCallbacks = new Set<() => void>();
  readonly #listener: HttpListener;
  #revision = 0;
  #vmVersions: VmListVersion[] = [{ atMs: 0, vms: [] }];
  #weightStoreFreeAtMs = 0;

  constructor() {
    this.#listener = new HttpListener(this.#createApp());
  }

  /** Returns the base URL. */
  get url(): string {
    return `http://${this.#listener.address}`;
  }

  /** Starts the server and returns its base URL. */
  async start(port = 0): Promise<string> {
    await this.#listener.listen(port);
    return this.url;
  }

  async dispose(): Promise<void> {
    await this.#listener.close();
    this.#wakeWaiters();
  }

  /** Replaces the list of VMs. */
  setVms(vms: readonly Vm[]): void {
    this.#vmVersions.push({ atMs: Date.now(), vms: [...vms] });
    this.#vmVersions = this.#vmVersions.slice(-50);
  }

  /** Returns the current list of VMs, regardless of `vmListLagMs`. */
  getVms(): Vm[] {
    return this.#vmVersions.at(-1)!.vms;
  }

  /** Returns an object without an HTTP request. */
  getObject(kind: string, name: string): StoredObject | undefined {
    return this.#objects.get(getKey(kind, name));
  }

  /** Returns all objects of a kind without an HTTP request. */
  getObjects(kind: string): StoredObject[] {
    return [...this.#objects.values()].filter((o) => o.kind === kind);
  }

  /** Writes an object unconditionally, to set up a test. */
  setObject(kind: string, name: string, value: unknown): StoredObject {
    const version = (this.getObject(kind, name)?.version ?? 0) + 1;
    return this.#write({ kind, name, version, value });
  }

  #write(object: StoredObject): StoredObject {
    this.#objects.set(getKey(object.kind, object.name), object);
    this.#appendEvent(object.kind, { name: object.name, object });
    return object;
  }

  #appendEvent(
    kind: string,
    event: { name: string; object?: StoredObject },
  ): void {
    this.#revision++;
    if (this.faults.skipWatchEvents > 0) {
      this.faults.skipWatchEvents--;
      return;
    }
    this.#eventLog.push({
      kind,
      event: { revision: this.#revision, ...event },
      atMs: Date.now(),
    });
    if (this.#eventLog.length > MAX_WATCH_EVENTS) {
      this.#eventLog.splice(0, MAX_WATCH_EVENTS / 2);
    }
    this.#wakeWaiters();
  }

  #wakeWaiters(): void {
    for (const wake of [...this.#wakeCallbacks]) {
      wake();
    }
  }

  #createApp(): Express {
    const app = express();
    app.disable("x-powered-by");
    app.use(express.json({ limit: "2mb", strict: false }));
    this.#addControlRoutes(app);
    app.use(async (req, res, next) => {
      if (
        this.#hasFaults(req.path) && await applyFaultsBeforeRequest(this.faults)
      ) {
        res.status(503).json({ message: "The platform is unavailable" });
        return;
      }
      next();
    });
    app.get(
      "/v1/objects/:kind/:name",
      (req, res) => this.#handleGet(req.params, res),
    );
    app.get("/v1/objects/:kind", (req, res) => {
      this.counts.reads++;
      res.json({
        revision: this.#revision,
        objects: this.getObjects(req.params.kind),
      });
    });
    app.put("/v1/objects/:kind/:name", (req, res) => this.#handlePut(req, res));
    app.delete(
      "/v1/objects/:kind/:name",
      (req, res) => this.#handleDelete(req, res),
    );
    app.get("/v1/watch/:kind", (req, res) => this.#handleWatch(req, res));
    app.get("/v1/vms", (_req, res) => {
      this.counts.vmLists++;
      res.json({ vms: this.#getLaggingVms() });
    });
    app.post("/v1/weights/fetch", (_req, res) => this.#handleWeightFetch(res));
    return app;
  }

  #addControlRoutes(app: Express): void {
    app.get("/control/counts", (_req, res) => {
      res.json(this.counts);
    });
    app.post("/control/faults", (req, res) => {
      Object.assign(this.faults, req.body);
      res.json(this.faults);
    });
    app.post("/control/vms", (req, res) => {
      this.setVms(req.body as Vm[]);
      res.json({ vms: this.getVms().length });
    });
  }

  #handleGet(params: { kind: string; name: string }, res: Response): void {
    this.counts.reads++;
    const object = this.getObject(params.kind, params.name);
    if (object === undefined) {
      res.status(404).json({ message: "The object does not exist" });
      return;
    }
    res.json(object);
  }

  #handlePut(req: Request, res: Response): void {
    this.counts.writes++;
    const kind = String(req.params.kind);
    const name = String(req.params.name);
    if (JSON.stringify(req.body).length > MAX_VALUE_BYTES) {
      res.status(413).json({ message: "The value is larger than a megabyte" });
      return;
    }
    const current = this.getObject(kind, name)?.version ?? 0;
    if (current !== getExpectedVersion(req)) {
      this.#sendConflict(res, current);
      return;
    }
    const version = current + 1;
    this.#write({ kind, name, version, value: req.body });
    this.#sendWriteResponse(req, { res, version });
  }

  #handleDelete(req: Request, res: Response): void {
    this.counts.writes++;
    const kind = String(req.params.kind);
    const name = String(req.params.name);
    const current = this.getObject(kind, name)?.version ?? 0;
    if (current === 0 || current !== getExpectedVersion(req)) {
      this.#sendConflict(res, current);
      return;
    }
    this.#objects.delete(getKey(kind, name));
    this.#appendEvent(kind, { name });
    this.#sendWriteResponse(req, { res, version: current });
  }

  #hasFaults(path: string): boolean {
    const { faultKind } = this.faults;
    return faultKind === "" || path.split("/")[3] === faultKind;
  }

  #sendConflict(res: Response, version: number): void {
    this.counts.conflicts++;
    res.status(412).json({
      message: "The object has another version",
      version,
    });
  }

  #sendWriteResponse(
    req: Request,
    response: { res: Response; version: number },
  ): void {
    if (this.#hasFaults(req.path) && takeDroppedResponse(this.faults)) {
      this.faults.down ||= this.faults.downAfterDrop;
      response.res.destroy();
      return;
    }
    response.res.json({ version: response.version });
  }

  async #handleWatch(req: Request, res: Response): Promise<void> {
    this.counts.watches++;
    const kind = String(req.params.kind);
    const since = Number(req.query.since ?? 0);
    const untilMs = Date.now() + Number(req.query.timeoutMs ?? 10_000);
    const oldestRevision = this.#eventLog[0]?.event.revision ??
      this.#revision + 1;
    const needsReset = since + 1 < oldestRevision && since !== this.#revision &&
      this.#eventLog.length >= MAX_WATCH_EVENTS / 2;
    let isClosed = false;
    res.on("close", () => isClosed = true);
    while (!isClosed) {
      const events = this.#getVisibleEvents(kind, since);
      if (events.length > 0 || needsReset || Date.now() >= untilMs) {
        const revision = events.at(-1)?.revision ?? since;
        res.json({
          revision: needsReset ? this.#revision : revision,
          events,
          reset: needsReset,
        });
        return;
      }
      await this.#waitForEvent(untilMs);
    }
  }

  #getVisibleEvents(kind: string, since: number): WatchEvent[] {
    const visibleUntilMs = Date.now() - this.faults.watchLagMs;
    return this.#eventLog
      .filter((l) =>
        l.kind === kind && l.event.revision > since && l.atMs <= visibleUntilMs
      )
      .map((l) => l.event);
  }

  async #waitForEvent(untilMs: number): Promise<void> {
    const abortController = new AbortController();
    const wake = () => abortController.abort();
    this.#wakeCallbacks.add(wake);
    const maxWaitMs = this.faults.watchLagMs > 0 ? 50 : 1_000;
    await delay(
      Math.max(1, Math.min(untilMs - Date.now(), maxWaitMs)),
      abortController.signal,
    );
    this.#wakeCallbacks.delete(wake);
    if (abortController.signal.aborted && this.faults.watchLagMs > 0) {
      await delay(Math.min(this.faults.watchLagMs, 50));
    }
  }

  #getLaggingVms(): Vm[] {
    const visibleUntilMs = Date.now() - this.faults.vmListLagMs;
    const visibleVersions = this.#vmVersions.filter((v) =>
      v.atMs <= visibleUntilMs
    );
    return (visibleVersions.at(-1) ?? this.#vmVersions[0]).vms;
  }

  async #handleWeightFetch(res: Response): Promise<void> {
    this.counts.weightFetches++;
    const now = Date.now();
    this.#weightStoreFreeAtMs = Math.max(now, this.#weightStoreFreeAtMs) +
      this.weightFetchMs;
    await delay(this.#weightStoreFreeAtMs - now);
    res.json({ fetched: true });
  }
}

function getKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}

function getExpectedVersion(req: Request): number {
  if (req.header("if-none-match") === "*") {
    return 0;
  }
  return Number(req.header("if-match") ?? -1);
}
