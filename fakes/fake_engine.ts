import express, { type Express, type Request, type Response } from "express";
import got from "got";
import type {
  ChatMessage,
  EngineOrder,
  EngineState,
  EngineStatus,
} from "../src/connection/engine_client.ts";
import { delay } from "../src/shared/delay.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { getHash32 } from "../src/shared/rendezvous_hash.ts";
import { countPromptTokens, getExpectedTokens } from "./fake_completion.ts";
import {
  applyFaultsBeforeRequest,
  type CommonFaults,
  createCommonFaults,
} from "./fault_switches.ts";
import { HttpListener } from "./http_listener.ts";

const CACHED_PREFIX_CHARACTERS = 256;
const MAX_CACHED_PREFIXES = 64;
/** Index of the token at which a token fault occurs; greater than 0, so that some tokens are forwarded before the fault. */
const FAULT_TOKEN_INDEX = 5;

/** Options of a fake engine. */
export interface FakeEngineOptions {
  readonly name: string;
  /** Base URL of the platform; a load order fetches weights from its weight store. */
  readonly platformUrl?: string;
  /** Time between two tokens of a stream in milliseconds. */
  readonly tokenIntervalMs?: number;
  /** Number of tokens sent on each stream per interval. */
  readonly tokensPerInterval?: number;
  /** Time from the request to its first token in milliseconds. */
  readonly prefillMs?: number;
  /** Limit on the tokens of all requests of the engine; above it the engine crashes. */
  readonly maxTokens?: number;
  /** Limit on the requests of a cold engine; above it the engine crashes. The limit rises by 1 for every 2 finished requests. */
  readonly coldRequests?: number;
  /** Maximum number of requests that run concurrently; further requests wait. */
  readonly maxRunning?: number;
  /** Number of finished requests after which a cold engine becomes warm. */
  readonly warmAfterRequests?: number;
  /** Whether the engine refuses orders with an older generation than its own. */
  readonly honoursFencing?: boolean;
  /** Interval between checks of the connections to the other group members, in milliseconds. */
  readonly memberCheckMs?: number;
}

/** Fault switches of an engine. */
export interface EngineFaults extends CommonFaults {
  /** Text that crashes the engine when a prompt contains it. */
  crashMarker: string | undefined;
  /** Whether token generation and responses are stopped, as in a suspended process. */
  paused: boolean;
  /** Factor by which the token interval is multiplied. */
  slowdown: number;
  /** Age of the reported status in milliseconds. */
  statusLagMs: number;
  /** Fault in the token sequence of each stream, at the token with the index {@link FAULT_TOKEN_INDEX}. */
  tokenFault: "none" | "duplicate" | "gap" | "swap";
  /** Probability that a cache event is lost. */
  cacheEventLoss: number;
}

interface EngineRequest {
  readonly id: string;
  /** All tokens of the response. */
  readonly responseTokens: string[];
  readonly promptTokens: number;
  readonly priority: number;
  readonly res: Response;
  readonly startedAtMs: number;
  /** Index of the next token to send. */
  nextIndex: number;
  firstTokenAtMs: number;
  /** Whether generation waits until the send buffer drains, because the caller reads too slowly. */
  isBlocked: boolean;
}

/** Change of the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixHash: number;
}

interface ChatBody {
  request_id?: string;
  messages: ChatMessage[];
  max_tokens?: number;
  priority?: number;
  resume_tokens?: string[];
}

/** Fake of the model engine of one backend server. */
export class FakeEngine {
  readonly faults: EngineFaults = {
    ...createCommonFaults(),
    crashMarker: undefined,
    paused: false,
    slowdown: 1,
    statusLagMs: 0,
    tokenFault: "none",
    cacheEventLoss: 0,
  };
  /** IDs of the requests that the engine has accepted, in order. */
  readonly startedRequests: string[] = [];
  readonly cancelledRequests: string[] = [];
  readonly orders: EngineOrder[] = [];
  crashes = 0;
  /** Highest number of running and waiting requests at one time. */
  peakRequests = 0;
  /** Number of requests refused because the group was incomplete. */
  refusedIncomplete = 0;

  readonly #options: Required<Omit<FakeEngineOptions, "platformUrl">> & {
    platformUrl?: string;
  };
  readonly #listener: HttpListener;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #runningRequests = new Map<string, EngineRequest>();
  readonly #waitingRequests: EngineRequest[] = [];
  readonly #cachedPrefixes = new Map<number, number>();
  readonly #cacheEvents: CacheEvent[] = [];
  readonly #statusHistory: { atMs: number; status: EngineStatus }[] = [];
  #cacheSequence = 0;
  #bootNumber = 0;
  #generation = 0;
  #state: EngineState = "empty";
  #order: EngineOrder | undefined;
  #connectedMembers: string[] = [];
  #finishedSinceLoad = 0;
  #nextTokenAtMs = 0;

  constructor(options: FakeEngineOptions) {
    this.#options = {
      tokenIntervalMs: 5,
      tokensPerInterval: 1,
      prefillMs: 5,
      maxTokens: 200_000,
      coldRequests: 2,
      maxRunning: 64,
      warmAfterRequests: 8,
      honoursFencing: true,
      memberCheckMs: 100,
      ...options,
    };
    this.#listener = new HttpListener(this.#createApp());
  }

  get name(): string {
    return this.#options.name;
  }

  get address(): string {
    return this.#listener.address;
  }

  get state(): EngineState {
    return this.#state;
  }

  /** Returns the number of running and waiting requests. */
  get heldRequests(): number {
    return this.#runningRequests.size + this.#waitingRequests.length;
  }

  /** Starts the engine and returns its address. */
  async start(port = 0): Promise<string> {
    await this.#listener.listen(port);
    this.#lifeCycle.addCallback(() => this.#listener.close());
    void this.#runGeneration();
    void this.#runMemberChecks();
    return this.address;
  }

  async dispose(): Promise<void> {
    await this.#lifeCycle.dispose();
  }

  /** Simulates a crash and a restart: closes all connections and resets the engine to the empty state with a new boot ID. */
  crash(): void {
    this.crashes++;
    this.#bootNumber++;
    this.#state = "empty";
    this.#order = undefined;
    this.#connectedMembers = [];
    this.#dropRequests();
    this.#cachedPrefixes.clear();
    this.#listener.dropConnections();
  }

  /** Makes a ready engine cold without a restart. */
  turnCold(): void {
    if (this.#state === "ready") {
      this.#state = "cold";
      this.#finishedSinceLoad = 0;
    }
  }

  /** Puts the engine into a group without an order request, to set up a test. */
  async assumeOrder(
    order: EngineOrder,
    state: EngineState = "ready",
  ): Promise<void> {
    this.#order = order;
    this.#generation = order.generation;
    this.#state = state;
    await this.#checkMembers();
  }

  #dropRequests(): void {
    for (
      const request of [
        ...this.#runningRequests.values(),
        ...this.#waitingRequests,
      ]
    ) {
      request.res.destroy();
    }
    this.#runningRequests.clear();
    this.#waitingRequests.length = 0;
  }

  #getStatus(): EngineStatus {
    return {
      bootId: `${this.#options.name}-${this.#bootNumber}`,
      generation: this.#generation,
      state: this.#state,
      groupId: this.#order?.groupId,
      model: this.#order?.model,
      modelVersion: this.#order?.modelVersion,
      connectedMembers: this.#connectedMembers,
      runningRequests: this.#runningRequests.size,
      waitingRequests: this.#waitingRequests.length,
      heldTokens: this.#getHeldTokens(),
      maxTokens: this.#options.maxTokens,
      tokenIntervalMs: this.#options.tokenIntervalMs * this.faults.slowdown *
        (this.#state === "cold" ? 2 : 1),
    };
  }

  #getLaggingStatus(): EngineStatus {
    const now = Date.now();
    this.#statusHistory.push({ atMs: now, status: this.#getStatus() });
    const visibleUntilMs = now - this.faults.statusLagMs;
    while (
      this.#statusHistory.length > 1 &&
      this.#statusHistory[1].atMs <= visibleUntilMs
    ) {
      this.#statusHistory.shift();
    }
    return this.#statusHistory[0].status;
  }

  #getHeldTokens(): number {
    let tokens = 0;
    for (
      const request of [
        ...this.#runningRequests.values(),
        ...this.#waitingRequests,
      ]
    ) {
      tokens += request.promptTokens + request.nextIndex;
    }
    return tokens;
  }

  #createApp(): Express {
    const app = express();
    app.disable("x-powered-by");
    app.use(express.json({ limit: "8mb" }));
    this.#addControlRoutes(app);
    app.use(async (_req, res, next) => {
      while (this.faults.paused) {
        if (!await delay(20, this.#lifeCycle.signal)) {
          res.destroy();
          return;
        }
      }
      if (await applyFaultsBeforeRequest(this.faults)) {
        res.status(503).json({ message: "The engine is unavailable" });
        return;
      }
      next();
    });
    app.get("/status", (_req, res) => {
      res.json(this.#getLaggingStatus());
    });
    app.post("/orders", (req, res) => this.#handleOrder(req, res));
    app.post("/v1/chat/completions", (req, res) => this.#handleChat(req, res));
    app.post("/abort", (req, res) => {
      this.#cancel(String((req.body as { request_id: string }).request_id));
      res.json({ aborted: true });
    });
    app.get("/cache-events", (req, res) => {
      const since = Number(req.query.since ?? 0);
      res.json({
        events: this.#cacheEvents.filter((e) => e.sequence > since),
      });
    });
    app.post("/kv/export", (req, res) => this.#handleKvExport(req, res));
    app.post("/kv/import", (req, res) => {
      const { prefixHashes } = req.body as { prefixHashes: number[] };
      prefixHashes.forEach((hash) => this.#storePrefix(hash));
      res.json({ imported: prefixHashes.length });
    });
    return app;
  }

  #addControlRoutes(app: Express): void {
    app.post("/control/faults", (req, res) => {
      Object.assign(this.faults, req.body);
      res.json(this.faults);
    });
    app.post("/control/crash", (_req, res) => {
      res.json({ crashed: true });
      setTimeout(() => this.crash(), 1);
    });
    app.post("/control/turn-cold", (_req, res) => {
      this.turnCold();
      res.json({ state: this.#state });
    });
    app.get("/control/record", (_req, res) => {
      res.json({
        crashes: this.crashes,
        peakRequests: this.peakRequests,
        started: this.startedRequests.length,
        cancelled: this.cancelledRequests.length,
        refusedIncomplete: this.refusedIncomplete,
      });
    });
  }

  async #handleOrder(req: Request, res: Response): Promise<void> {
    const order = req.body as EngineOrder;
    if (this.#options.honoursFencing && order.generation < this.#generation) {
      res.status(409).json({ generation: this.#generation });
      return;
    }
    this.orders.push(order);
    this.#generation = order.generation;
    res.json({ generation: order.generation });
    if (order.action === "unload") {
      this.#dropRequests();
      this.#state = "empty";
      this.#order = undefined;
      return;
    }
    if (order.action === "load" && !this.#isSameOrder(order)) {
      await this.#load(order);
    }
  }

  #isSameOrder(order: EngineOrder): boolean {
    return this.#order?.groupId === order.groupId &&
      this.#order.generation === order.generation && this.#state !== "empty";
  }

  async #load(order: EngineOrder): Promise<void> {
    this.#dropRequests();
    this.#order = order;
    this.#state = "loading";
    const bootNumber = this.#bootNumber;
    if (this.#options.platformUrl !== undefined) {
      await got.post(`${this.#options.platformUrl}/v1/weights/fetch`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
      }).catch(() => undefined);
    }
    if (
      this.#bootNumber === bootNumber && this.#order === order &&
      this.#state === "loading"
    ) {
      this.#state = "cold";
      this.#finishedSinceLoad = 0;
      await this.#checkMembers();
    }
  }

  #isGroupComplete(): boolean {
    const order = this.#order;
    return order !== undefined && order.leader === this.#options.name &&
      Object.keys(order.members).every((m) =>
        this.#connectedMembers.includes(m)
      );
  }

  async #runMemberChecks(): Promise<void> {
    while (
      await delay(this.#options.memberCheckMs, this.#lifeCycle.signal)
    ) {
      await this.#checkMembers();
    }
  }

  async #checkMembers(): Promise<void> {
    const order = this.#order;
    if (
      order === undefined || this.#state === "loading" || this.faults.paused
    ) {
      return;
    }
    const wasComplete = this.#isGroupComplete();
    const names = Object.keys(order.members);
    const connectionResults = await Promise.all(
      names.map((name) => this.#isMemberConnected(order, name)),
    );
    if (this.#order !== order) {
      return;
    }
    this.#connectedMembers = names.filter((_, index) =>
      connectionResults[index]
    );
    // A group that loses a member fails all of its requests.
    if (wasComplete && !this.#isGroupComplete()) {
      this.#dropRequests();
    }
  }

  async #isMemberConnected(order: EngineOrder, name: string): Promise<boolean> {
    if (name === this.#options.name) {
      return true;
    }
    try {
      const status = await got(`http://${order.members[name]}/status`, {
        timeout: { request: 500 },
        retry: { limit: 0 },
      }).json<EngineStatus>();
      return status.groupId === order.groupId &&
        status.generation === order.generation &&
        status.state !== "empty" && status.state !== "loading";
    } catch {
      return false;
    }
  }

  #handleChat(req: Request, res: Response): void {
    const body = req.body as ChatBody;
    if (!this.#isGroupComplete()) {
      this.refusedIncomplete++;
      res.status(503).json({ message: "The group is not complete" });
      return;
    }
    const text = body.messages.map((m) => m.content).join("\n");
    const crashMarker = this.faults.crashMarker;
    this.startedRequests.push(body.request_id ?? "");
    if (crashMarker !== undefined && text.includes(crashMarker)) {
      this.crash();
      return;
    }
    const request = this.#createRequest(body, res);
    res.status(200).set("content-type", "text/event-stream").flushHeaders();
    res.on("close", () => this.#cancel(request.id));
    this.#storePromptPrefix(text);
    this.#enqueue(request);
  }

  #createRequest(body: ChatBody, res: Response): EngineRequest {
    const responseTokens = getExpectedTokens(
      body.messages,
      body.max_tokens ?? 512,
    );
    return {
      id: body.request_id ?? `anonymous-${this.startedRequests.length}`,
      responseTokens,
      promptTokens: countPromptTokens(body.messages),
      priority: body.priority ?? 5,
      res,
      startedAtMs: Date.now(),
      nextIndex: Math.min(
        body.resume_tokens?.length ?? 0,
        responseTokens.length,
      ),
      firstTokenAtMs: 0,
      isBlocked: false,
    };
  }

  #enqueue(request: EngineRequest): void {
    this.#waitingRequests.push(request);
    this.#waitingRequests.sort((a, b) => a.priority - b.priority);
    this.#admitWaiting();
    this.peakRequests = Math.max(this.peakRequests, this.heldRequests);
    const isColdOverload = this.#state === "cold" &&
      this.heldRequests > this.#options.coldRequests +
          Math.floor(this.#finishedSinceLoad / 2);
    if (isColdOverload || this.#getHeldTokens() > this.#options.maxTokens) {
      this.crash();
    }
  }

  #admitWaiting(): void {
    while (
      this.#waitingRequests.length > 0 &&
      this.#runningRequests.size < this.#options.maxRunning
    ) {
      const request = this.#waitingRequests.shift()!;
      request.firstTokenAtMs = Date.now() + this.#options.prefillMs;
      this.#runningRequests.set(request.id, request);
    }
  }

  async #runGeneration(): Promise<void> {
    this.#nextTokenAtMs = Date.now();
    for (;;) {
      const intervalFactor = this.faults.slowdown *
        (this.#state === "cold" ? 2 : 1);
      this.#nextTokenAtMs += this.#options.tokenIntervalMs * intervalFactor;
      const waitMs = Math.max(0, this.#nextTokenAtMs - Date.now());
      if (!await delay(waitMs, this.#lifeCycle.signal)) {
        return;
      }
      this.#nextTokenAtMs = Math.max(this.#nextTokenAtMs, Date.now() - 50);
      if (!this.faults.paused) {
        this.#generateTokens();
      }
    }
  }

  #generateTokens(): void {
    const now = Date.now();
    for (const request of this.#runningRequests.values()) {
      if (!request.isBlocked && request.firstTokenAtMs <= now) {
        this.#generateRequestTokens(request);
      }
    }
    if (this.#getHeldTokens() > this.#options.maxTokens) {
      this.crash();
      return;
    }
    this.#admitWaiting();
  }

  #generateRequestTokens(request: EngineRequest): void {
    const end = Math.min(
      request.nextIndex + this.#options.tokensPerInterval,
      request.responseTokens.length,
    );
    let text = "";
    for (; request.nextIndex < end; request.nextIndex++) {
      text += this.#formatTokenWithFault(request);
    }
    if (request.nextIndex >= request.responseTokens.length) {
      this.#finish(request, text);
      return;
    }
    if (!request.res.write(text)) {
      request.isBlocked = true;
      request.res.once("drain", () => request.isBlocked = false);
    }
  }

  #formatTokenWithFault(request: EngineRequest): string {
    const index = request.nextIndex;
    const event = formatTokenEvent(request, index);
    if (index === FAULT_TOKEN_INDEX) {
      switch (this.faults.tokenFault) {
        case "duplicate":
          return formatTokenEvent(request, index - 1) + event + event;
        case "gap":
          return "";
        case "swap":
          return formatTokenEvent(request, index + 1) + event;
      }
    }
    return event;
  }

  #finish(request: EngineRequest, text: string): void {
    this.#runningRequests.delete(request.id);
    this.#finishedSinceLoad++;
    if (
      this.#state === "cold" &&
      this.#finishedSinceLoad >= this.#options.warmAfterRequests
    ) {
      this.#state = "ready";
    }
    request.res.end(text + formatEndEvent(request));
  }

  #cancel(id: string): void {
    const waitingIndex = this.#waitingRequests.findIndex((r) => r.id === id);
    const request = this.#runningRequests.get(id) ??
      this.#waitingRequests[waitingIndex];
    if (request === undefined) {
      return;
    }
    this.#runningRequests.delete(id);
    if (waitingIndex >= 0) {
      this.#waitingRequests.splice(waitingIndex, 1);
    }
    this.cancelledRequests.push(id);
    request.res.end();
    this.#admitWaiting();
  }

  #storePromptPrefix(text: string): void {
    this.#storePrefix(getHash32(text.slice(0, CACHED_PREFIX_CHARACTERS)));
  }

  #storePrefix(hash: number): void {
    this.#cachedPrefixes.delete(hash);
    this.#cachedPrefixes.set(hash, Date.now());
    this.#publishCacheEvent("stored", hash);
    if (this.#cachedPrefixes.size > MAX_CACHED_PREFIXES) {
      const oldest = this.#cachedPrefixes.keys().next().value!;
      this.#cachedPrefixes.delete(oldest);
      this.#publishCacheEvent("evicted", oldest);
    }
  }

  #publishCacheEvent(type: CacheEvent["type"], prefixHash: number): void {
    const sequence = ++this.#cacheSequence;
    if (Math.random() >= this.faults.cacheEventLoss) {
      this.#cacheEvents.push({ sequence, type, prefixHash });
      this.#cacheEvents.splice(0, this.#cacheEvents.length - 1_000);
    }
  }

  #handleKvExport(req: Request, res: Response): void {
    const { request_id: id } = req.body as { request_id: string };
    const request = this.#runningRequests.get(id);
    if (request === undefined) {
      res.status(404).json({ message: "The request is not running" });
      return;
    }
    res.json({
      requestId: id,
      generatedTokens: request.nextIndex,
      prefixHashes: [...this.#cachedPrefixes.keys()],
    });
  }
}

function formatTokenEvent(request: EngineRequest, index: number): string {
  return `data: ${
    JSON.stringify({
      id: request.id,
      object: "chat.completion.chunk",
      token_index: index,
      choices: [{
        index: 0,
        delta: { content: request.responseTokens[index] },
      }],
    })
  }\n\n`;
}

function formatEndEvent(request: EngineRequest): string {
  const end = {
    id: request.id,
    object: "chat.completion.chunk",
    choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
    usage: {
      prompt_tokens: request.promptTokens,
      completion_tokens: request.responseTokens.length,
    },
  };
  return `data: ${JSON.stringify(end)}\n\ndata: [DONE]\n\n`;
}
