import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { delay } from "../src/shared/delay.ts";
import { HttpListener } from "./http_listener.ts";
import {
  type FakeObjectStore,
  readJson,
  sendJson,
} from "./fake_object_store.ts";

const JOIN_DELAY_MS = 50;
const OPEN_DELAY_MS = 50;
/** Time for which a server that a request has crashed is down, in milliseconds. */
const RESTART_MS = 500;
/** Time until an order that gets no response is applied, in milliseconds. */
const LATE_ORDER_MS = 1_500;
/** Time for which a group stands still until its head is broken, in milliseconds. */
const STALL_MS = 4_000;
/** Interval at which the head of a group checks whether the group stands still, in milliseconds. */
const STALL_CHECK_INTERVAL_MS = 100;
/** Default time between two events of a stream, in milliseconds. */
const DEFAULT_EVENT_MS = 20;

interface ServerGroup {
  readonly Name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: readonly string[];
  State: "joining" | "ready" | "open" | "closing" | "broken";
}

/**
 * Place at which the streams of a group stand still while a server of it is paused.
 *
 * - `between events`: no event is begun; those of the pause follow at the usual pace.
 * - `inside an event`: the first half of the next event has been sent.
 * - `before a burst`: as between events, and all events of the pause follow at once.
 */
export type PauseForm = "between events" | "inside an event" | "before a burst";

/** Order of the planner as the server receives it. */
export interface ServerOrder {
  readonly Operation: string;
  readonly group: string;
  readonly epoch: number;
  readonly Model: string;
  readonly Members: readonly string[];
  readonly CloseMode?: "pending" | "aborted";
  readonly FencingToken?: number;
}

/** Record of one executed request. */
export interface FakeServerRun {
  readonly requestId: string;
  readonly serverId: string;
  readonly tenant: string | undefined;
  readonly key: string | undefined;
  /** Whether all members of the server's group were running and in the group when the execution began; true for a plain service. */
  readonly isWhole: boolean;
  /** Whether all members of the server's group had reached the state `ready` in it before the execution began; true for a plain service. */
  readonly hasFormed: boolean;
  /** Parts of the request's prompt. */
  readonly promptParts: readonly string[];
  /** Wall-clock time at which the execution began, in milliseconds. */
  readonly atMs: number;
  readonly zone: string;
}

/** Options of a fake backend server. */
export interface FakeBackendServerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Fabric domain of a model server; undefined for a plain service. */
  readonly domain?: string;
  readonly store: FakeObjectStore;
  readonly fleet: Map<string, FakeBackendServer>;
  readonly runs: FakeServerRun[];
  /** Number of events in each stream. */
  readonly eventCount?: number;
  /** Time between two events, in milliseconds. */
  readonly eventMs?: number;
  /** Maps the address of the listener to the address under which the server registers. */
  getPublicAddress?(address: string): string;
}

/** Fake of a backend server with the platform's interface: a model server that joins groups, or a plain service. */
export class FakeBackendServer {
  readonly #options: FakeBackendServerOptions;
  readonly #listener = new HttpListener((req, res) => this.#handle(req, res));
  #startedAtMs = Date.now();
  #group: ServerGroup | undefined;
  #lastModel: string | undefined;
  readonly #readyGroupNames = new Set<string>();
  #fencingToken = 0;
  /** Number of joins that the server accepted while the head of its current group was still open or closing. */
  conflictingJoins = 0;
  /** Number of times that the server left its group on an order while the head was still open or closing. */
  leavesWhileServing = 0;
  #isPaused = false;
  /** Streams in flight of the group whose head this server is. */
  readonly #streams = new Set<ServerResponse>();
  /** Requests that arrived while the server was paused. */
  readonly #deferredCalls: (() => void)[] = [];
  #state: "ready" | "draining" = "ready";
  #isDisposed = false;
  /** Whether the server has removed its entry from the store. */
  /** Whether the health check succeeds. */
  #isHealthy = true;
  #isWithdrawn = false;
  #sequence = 0;
  /** Whether the server has crashed; a crashed server does not respond. */
  hasCrashed = false;
  /** Part of a prompt that crashes the server when it begins to respond; the server restarts with an empty memory. */
  crashingPart: string | undefined;
  /** Number of events that a response on `crashingPart` has before the server crashes. */
  eventsBeforeCrash = 0;
  /** Path of the requests that crash a plain service's server when it runs them. */
  crashingPath: string | undefined;
  /** Wall-clock times of the crashes caused by `crashingPart` or `crashingPath`, in milliseconds. */
  readonly requestCrashesAtMs: number[] = [];
  /** Number of upcoming requests that are answered with the status 500 and a body. */
  requestsToFail = 0;
  /** Number of upcoming requests that are executed and answered with the status `invalidStatus`, the body of an error and the signature. */
  requestsToSpoil = 0;
  /** Status line code of the responses to `requestsToSpoil`. */
  invalidStatus = "000";
  /** Number of requests per second that the server states in its responses. */
  requestLimit: number | undefined;
  /** Time between two events of a stream, in milliseconds. */
  eventMs: number;
  /** Time that a plain service takes for a response, in milliseconds. */
  responseMs = 0;
  /** Whether the server states in its responses that it is about to stop. */
  isLeaving = false;
  /** `Retry-After` with which the server refuses all requests; undefined when it accepts them. */
  retryAfter: string | undefined;
  /** Wall-clock times at which the server refused a request with `retryAfter`, in milliseconds. */
  readonly refusedAtMs: number[] = [];
  /** Number of upcoming refusals that are sent a second time, when the next request arrives on their connection. */
  refusalsToRepeat = 0;
  /** Number of refusals that were sent a second time. */
  repeatedRefusals = 0;
  /** Refusals that are sent a second time, by connection. */
  readonly #pendingRefusals = new WeakMap<Socket, string>();
  /** Number of upcoming orders that get no response and are applied after a delay. */
  ordersToDelay = 0;
  /** Returns the time until an order is applied that gets no response, in milliseconds, or 0 for an order that is applied at once. */
  getOrderDelayMs: (order: ServerOrder) => number = () => 0;
  /** Place at which streams stand still while the group is paused. */
  pauseForm: PauseForm = "between events";
  /** Number of upcoming status requests whose connection is reset, as by a server that has its maximum number of connections. */
  reportsToReset = 0;
  /** Status and body of the responses to status requests; undefined when the server reports its state. */
  reportResponse: { status: number; body: string } | undefined;
  /** Number of upcoming requests that are executed but whose connection is reset instead of a response. */
  responsesToLose = 0;

  constructor(options: FakeBackendServerOptions) {
    this.#options = options;
    this.eventMs = options.eventMs ?? DEFAULT_EVENT_MS;
    options.fleet.set(options.id, this);
  }

  get group(): ServerGroup | undefined {
    return this.#group;
  }

  /** Gets whether the server sends nothing at present. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Starts listening and registers the server in the store. */
  async start(): Promise<void> {
    await this.listen();
    this.publishEntry();
  }

  /** Gets the number of crashes caused by `crashingPart` or `crashingPath`. */
  get requestCrashes(): number {
    return this.requestCrashesAtMs.length;
  }

  /** Returns the address of the listener as `host:port`. */
  get address(): string {
    return this.#listener.address;
  }

  /** Starts listening without registering the server. */
  async listen(): Promise<void> {
    await this.#listener.listen();
  }

  /** Simulates a crash: the server stops responding, but its entry remains in the store. */
  crash(): void {
    this.hasCrashed = true;
  }

  /** Sets the state `draining` in the server's entry. */
  drain(): void {
    this.#state = "draining";
    this.publishEntry();
  }

  /**
   * Removes the server's entry from the store, as a server does that leaves without the state `draining`. It serves on.
   *
   * @param options - With `isLeaving` set to false, the entry has expired since the server is cut off from the store, and its health check succeeds.
   */
  removeEntry({ isLeaving = true }: { isLeaving?: boolean } = {}): void {
    this.#isWithdrawn = true;
    this.#isHealthy = !isLeaving;
    this.#options.store.deleteObject("servers", this.#options.id);
  }

  /** Writes the server's entry to the store again, as a server that reaches the store after its entry has expired. */
  publishEntryAgain(): void {
    this.#isWithdrawn = false;
    this.#isHealthy = true;
    this.publishEntry();
  }

  /** Resets the connections of the streams in flight, and goes on serving. */
  abortStreams(): void {
    [...this.#streams].forEach(({ socket }) => socket?.resetAndDestroy());
  }

  /** Accepts no further connection, as a server that is about to exit, and completes the requests in flight. */
  stopListening(): void {
    this.#listener.stopListening();
  }

  /** Stops listening. */
  async dispose(): Promise<void> {
    this.#isDisposed = true;
    await this.#listener.close();
  }

  /** Gets whether the server has ever been ready in the group. */
  hasBeenReadyInGroup(groupName: string): boolean {
    return this.#readyGroupNames.has(groupName);
  }

  /** Writes the server's entry to the store, unless the server has crashed, stopped or removed it. */
  publishEntry(): void {
    const { store, id, service, zone, getPublicAddress } = this.#options;
    if (this.hasCrashed || this.#isDisposed || this.#isWithdrawn) {
      return;
    }
    const { address } = this.#listener;
    store.putObject("servers", id, {
      Service: service,
      Address: getPublicAddress?.(address) ?? address,
      Zone: zone,
      Version: "v1",
      Slots: 4,
      State: this.#state,
      ColdLeftMs: 0,
      Sequence: ++this.#sequence,
      ...this.#describeState(),
    });
  }

  #describeState() {
    const { domain } = this.#options;
    if (domain === undefined) {
      return { born: this.#startedAtMs };
    }
    const models = this.#lastModel === undefined ? [] : [this.#lastModel];
    return {
      born: this.#startedAtMs,
      Domain: domain,
      Staged: models,
      Models: models.map((Name) => ({ Name, Version: 1, Adapters: [] })),
      group: this.#group === undefined ? null : {
        Name: this.#group.Name,
        epoch: this.#group.epoch,
        rank: this.#group.rank,
        State: this.#group.State,
      },
    };
  }

  /** Sends nothing for a time, and goes on then where it was. */
  async pause(durationMs: number): Promise<void> {
    this.#isPaused = true;
    await delay(durationMs);
    this.#isPaused = false;
    this.#deferredCalls.splice(0).forEach((call) => call());
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    if (this.hasCrashed) {
      return;
    }
    if (this.#isPaused) {
      this.#deferredCalls.push(() => this.#handle(req, res));
      return;
    }
    if (req.url === "/v1/report" && this.reportsToReset > 0) {
      this.reportsToReset--;
      req.socket.resetAndDestroy();
      return;
    }
    if (req.url === "/v1/report" && this.reportResponse !== undefined) {
      const { status, body } = this.reportResponse;
      res.writeHead(status, { "content-type": "application/json" });
      res.end(body);
      return;
    }
    if (req.url === "/v1/report") {
      sendJson(res, 200, {
        ...this.#describeState(),
        Running: this.#streams.size,
        Waiting: 0,
      });
      return;
    }
    if (req.url === "/health") {
      const isLeaving = this.isLeaving || this.#state === "draining";
      res.writeHead(this.#isHealthy && !isLeaving ? 200 : 503);
      res.end();
      return;
    }
    const handling = req.url === "/v1/order"
      ? this.#handleOrder(req, res)
      : this.#handleRequest(req, res);
    handling.catch(() => res.destroy());
  }

  async #handleOrder(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = await readJson(req) as ServerOrder;
    const { "expect-instance": expectedId = this.#options.id } = req.headers;
    if (expectedId !== this.#options.id) {
      sendJson(res, 421, {});
      return;
    }
    let delayMs = this.getOrderDelayMs(order);
    if (this.ordersToDelay > 0) {
      this.ordersToDelay--;
      delayMs = LATE_ORDER_MS;
    }
    if (delayMs > 0) {
      setTimeout(() => this.#applyOrder(order), delayMs).unref();
      return;
    }
    sendJson(res, this.#applyOrder(order), {});
  }

  #applyOrder(order: ServerOrder): number {
    const { FencingToken: fencingToken = 0 } = order;
    if (fencingToken < this.#fencingToken) {
      return 412;
    }
    this.#fencingToken = fencingToken;
    if (order.Operation === "join") {
      return this.#join(order);
    }
    const group = this.#group;
    if (group?.Name !== order.group || group.epoch !== order.epoch) {
      return 409;
    }
    if (order.Operation === "leave") {
      this.leavesWhileServing += this.#isHeadServing() ? 1 : 0;
      this.#group = undefined;
    } else if (order.Operation === "close") {
      this.#closeGroup(group, order.CloseMode);
    } else if (order.Operation === "open") {
      if (group.State !== "ready") {
        return group.State === "open" ? 200 : 409;
      }
      this.#changeStateAfter(group, "open", OPEN_DELAY_MS);
      return 202;
    }
    this.publishEntry();
    return 200;
  }

  /** Closes a group at once, or once its streams have ended when the order lets them finish. */
  #closeGroup(group: ServerGroup, mode: ServerOrder["CloseMode"]): void {
    if (group.State !== "open" && group.State !== "closing") {
      return;
    }
    if (mode === "pending" && this.#streams.size > 0) {
      group.State = "closing";
      return;
    }
    group.State = "ready";
    this.#streams.forEach((stream) => stream.destroy());
  }

  #finishClosing(): void {
    if (this.#group?.State === "closing" && this.#streams.size === 0) {
      this.#group.State = "ready";
      this.publishEntry();
    }
  }

  /** Breaks the group whose head this server is once it has stood still for `STALL_MS` since a member is gone. */
  #watchStall(group: ServerGroup): void {
    let stalledMs = 0;
    const timer = setInterval(() => {
      if (this.#group !== group || this.#isDisposed || this.hasCrashed) {
        clearInterval(timer);
        return;
      }
      const isServing = group.State === "open" || group.State === "closing";
      stalledMs = isServing && !this.#isGroupComplete()
        ? stalledMs + STALL_CHECK_INTERVAL_MS
        : 0;
      if (stalledMs >= STALL_MS) {
        clearInterval(timer);
        group.State = "broken";
        this.#streams.forEach((stream) => stream.destroy());
        this.publishEntry();
      }
    }, STALL_CHECK_INTERVAL_MS);
    timer.unref();
  }

  #join(order: ServerOrder): number {
    if (order.epoch < (this.#group?.epoch ?? 0)) {
      return 412;
    }
    this.conflictingJoins += this.#isHeadServing() ? 1 : 0;
    const group: ServerGroup = {
      Name: order.group,
      epoch: order.epoch,
      rank: order.Members.indexOf(this.#options.id),
      members: order.Members,
      State: "joining",
    };
    this.#group = group;
    this.publishEntry();
    this.#lastModel = order.Model;
    this.#changeStateAfter(group, "ready", JOIN_DELAY_MS);
    if (group.rank === 0) {
      this.#watchStall(group);
    }
    return 202;
  }

  /** Gets whether the head of this server's group is open or closing. */
  #isHeadServing(): boolean {
    const headServer = this.#options.fleet.get(this.#group?.members[0] ?? "");
    const state =
      headServer?.group?.Name === this.#group?.Name && !headServer?.hasCrashed
        ? headServer?.group?.State
        : undefined;
    return state === "open" || state === "closing";
  }

  #changeStateAfter(
    group: ServerGroup,
    state: ServerGroup["State"],
    delayMs: number,
  ): void {
    setTimeout(() => {
      if (this.#group === group) {
        group.State = state;
        this.#readyGroupNames.add(group.Name);
        this.publishEntry();
      }
    }, delayMs).unref();
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { id, runs, domain, zone, fleet } = this.#options;
    const requestId = String(req.headers["request-id"]);
    this.#sendPendingRefusal(req.socket);
    await readJson(req).catch(() => undefined);
    if (req.headers["expect-instance"] !== id) {
      res.writeHead(421, {
        ...this.#describeLeaving(),
        "instance-id": id,
        "request-id": requestId,
      });
      res.end();
      return;
    }
    const isClosed = domain !== undefined && this.#group?.State !== "open";
    if (isClosed || this.retryAfter !== undefined) {
      this.#refuse(res, requestId);
      return;
    }
    runs.push({
      requestId,
      serverId: id,
      tenant: req.headers.tenant as string | undefined,
      key: req.headers.credential as string | undefined,
      isWhole: this.#isGroupComplete(),
      hasFormed: this.#group?.members.every((member) =>
        fleet.get(member)?.hasBeenReadyInGroup(this.#group!.Name)
      ) ?? domain === undefined,
      atMs: Date.now(),
      zone,
      promptParts: listPromptParts(req),
    });
    const headers = {
      ...this.#describeLeaving(),
      "request-id": requestId,
      "response-signature": id,
      ...(this.requestLimit !== undefined &&
        { "server-limit": String(this.requestLimit) }),
    };
    if (this.requestsToSpoil > 0) {
      this.requestsToSpoil--;
      req.socket.write(
        formatResponse(`${this.invalidStatus} Error`, headers, "error"),
      );
    } else if (this.requestsToFail > 0) {
      this.requestsToFail--;
      res.writeHead(500, headers);
      res.end("internal error");
    } else if (this.responsesToLose > 0) {
      this.responsesToLose--;
      req.socket.resetAndDestroy();
    } else if (domain === undefined) {
      if (req.url === this.crashingPath) {
        this.requestCrashesAtMs.push(Date.now());
        await this.restart();
        return;
      }
      await delay(this.responseMs);
      res.writeHead(200, headers);
      res.end(`done by ${id}`);
    } else {
      res.writeHead(200, { ...headers, "content-type": "text/event-stream" });
      this.#streamEvents(res, Number(req.headers["last-event-id"] ?? 0));
    }
  }

  #describeLeaving(): Record<string, string> {
    return this.isLeaving ? { "server-leaving": "1" } : {};
  }

  #refuse(res: ServerResponse, requestId: string): void {
    const headers: Record<string, string> = {
      ...this.#describeLeaving(),
      "not-executed": "1",
      "request-id": requestId,
    };
    if (this.retryAfter !== undefined) {
      this.refusedAtMs.push(Date.now());
      headers["retry-after"] = this.retryAfter;
    }
    res.writeHead(503, headers);
    res.end();
    if (this.refusalsToRepeat > 0) {
      this.refusalsToRepeat--;
      this.#pendingRefusals.set(
        res.req.socket,
        formatResponse("503 Service Unavailable", headers),
      );
    }
  }

  #sendPendingRefusal(socket: Socket): void {
    const refusal = this.#pendingRefusals.get(socket);
    if (refusal !== undefined) {
      this.#pendingRefusals.delete(socket);
      this.repeatedRefusals++;
      socket.write(refusal);
    }
  }

  /** Sends the events after `lastEventId`; pauses while a member of the group is missing or silent. */
  #streamEvents(res: ServerResponse, lastEventId: number): void {
    const { eventCount = 20 } = this.#options;
    let id = lastEventId;
    const crashId = lastEventId + this.eventsBeforeCrash;
    const isCrashing = listPromptParts(res.req).some((part) =>
      part === this.crashingPart
    );
    let missedCount = 0;
    let sentHalf = "";
    const timer = setInterval(() => {
      if (this.hasCrashed || !this.#isGroupComplete()) {
        return;
      }
      if (this.#isGroupPaused()) {
        missedCount++;
        if (this.pauseForm === "inside an event" && sentHalf === "") {
          sentHalf = `id: ${id + 1}\nda`;
          res.write(sentHalf);
        }
        return;
      }
      if (isCrashing && id >= crashId) {
        clearInterval(timer);
        this.requestCrashesAtMs.push(Date.now());
        void this.restart();
        return;
      }
      const burst = this.pauseForm === "before a burst" ? missedCount : 0;
      const lastId = Math.min(eventCount, id + 1 + burst);
      missedCount = 0;
      let text = "";
      while (id < lastId) {
        id++;
        text += `id: ${id}\ndata: ${id}\n\n`;
      }
      res.write(text.slice(sentHalf.length));
      sentHalf = "";
      if (id >= eventCount) {
        clearInterval(timer);
        res.end();
      }
    }, this.eventMs);
    this.#streams.add(res);
    res.on("close", () => {
      clearInterval(timer);
      this.#streams.delete(res);
      this.#finishClosing();
    });
  }

  /** Closes all connections, stops listening, and starts again at the same address as a process without a group. */
  async restart(): Promise<void> {
    this.hasCrashed = true;
    const port = Number(this.address.split(":")[1]);
    await this.#listener.close();
    await delay(RESTART_MS);
    if (!this.#isDisposed) {
      this.#group = undefined;
      this.isLeaving = false;
      this.#startedAtMs = Date.now();
      this.#isWithdrawn = false;
      this.#sequence = 0;
      await this.#listener.listen(port);
      this.hasCrashed = false;
      this.publishEntry();
    }
  }

  /** Gets whether this server or another member of its group sends nothing. A group runs at the pace of its slowest member. */
  #isGroupPaused(): boolean {
    const { fleet } = this.#options;
    return this.#isPaused ||
      this.#group?.members.some((id) => fleet.get(id)?.isPaused) === true;
  }

  #isGroupComplete(): boolean {
    const group = this.#group;
    return group === undefined || group.members.every((id) => {
      const member = this.#options.fleet.get(id);
      return member !== undefined && !member.hasCrashed &&
        member.group?.Name === group.Name && member.group.epoch === group.epoch;
    });
  }
}

function formatResponse(
  status: string,
  headers: Readonly<Record<string, string>>,
  body = "",
): string {
  const lines = Object.entries({
    ...headers,
    "content-length": String(body.length),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join("")}\r\n${body}`;
}

function listPromptParts(req: IncomingMessage): string[] {
  return String(req.headers["prompt-prefix"] ?? "").split(",")
    .map((part) => part.split(":")[0]);
}
