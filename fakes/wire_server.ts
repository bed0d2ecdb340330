import type { IncomingMessage, ServerResponse } from "node:http";
import { HttpListener } from "./http_listener.ts";
import { answerJson, readJson, type WireStore } from "./wire_store.ts";

const JOIN_MS = 50;
const FORM_MS = 50;

interface WireGroup {
  readonly Name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: readonly string[];
  State: "joining" | "ready" | "open" | "closing" | "broken";
}

interface WireOrder {
  readonly Operation: string;
  readonly group: string;
  readonly epoch: number;
  readonly Model: string;
  readonly Members: readonly string[];
  readonly FencingToken?: number;
}

/** What one run of a request did. */
export interface WireRun {
  readonly requestId: string;
  readonly serverId: string;
  readonly tenant: string | undefined;
  readonly key: string | undefined;
  /** Whether all members of the group were alive and in it when the run began. */
  readonly isWhole: boolean;
  /** Whether all members of the group had been ready in it when the run began. */
  readonly hasFormed: boolean;
  /** Wall-clock time of the begin, in milliseconds. */
  readonly atMs: number;
  readonly zone: string;
}

/** Where and as what a server registers. */
export interface WireServerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Fabric domain; without one the server is a plain service. */
  readonly domain?: string;
  readonly store: WireStore;
  readonly fleet: Map<string, WireServer>;
  readonly runs: WireRun[];
  /** Events of each stream. */
  readonly events?: number;
  /** Time between two events, in milliseconds. */
  readonly eventMs?: number;
  /** Gets the address under which the server registers, from that of its listener. */
  getPublicAddress?(address: string): string;
}

/** Stand-in of one of the platform's servers: a member of model groups, or a plain service. */
export class WireServer {
  readonly #options: WireServerOptions;
  readonly #listener = new HttpListener((req, res) => this.#handle(req, res));
  readonly #bornMs = Date.now();
  #group: WireGroup | undefined;
  #lastModel: string | undefined;
  readonly #readyIn = new Set<string>();
  #fence = 0;
  /** Joins of another group that were taken while the head of the server's group was open or closing. */
  conflictingJoins = 0;
  #state: "ready" | "draining" = "ready";
  #hasLeft = false;
  /** Whether the server has stopped without a trace. */
  isDark = false;
  /** Orders that get no answer and are carried out later. */
  lateOrders = 0;
  /** Answers that are replaced by a reset after the run. */
  lostAnswers = 0;

  constructor(options: WireServerOptions) {
    this.#options = options;
    options.fleet.set(options.id, this);
  }

  get group(): WireGroup | undefined {
    return this.#group;
  }

  /** Starts listening and registers. */
  async start(): Promise<void> {
    await this.listen();
    this.publishEntry();
  }

  /** Gets the address of the listener as `host:port`. */
  get address(): string {
    return this.#listener.address;
  }

  /** Starts listening without an entry in the list. */
  async listen(): Promise<void> {
    await this.#listener.listen();
  }

  /** Stops without a trace: its entry stays for a while, and nothing is answered. */
  crash(): void {
    this.isDark = true;
  }

  /** Reports that the server is about to leave. */
  drain(): void {
    this.#state = "draining";
    this.publishEntry();
  }

  /** Stops listening. */
  async dispose(): Promise<void> {
    this.#hasLeft = true;
    await this.#listener.close();
  }

  /** Gets whether the server was ready in a group at any time. */
  hasBeenReadyIn(groupName: string): boolean {
    return this.#readyIn.has(groupName);
  }

  /** Writes the entry in the list. */
  publishEntry(): void {
    const { store, id, service, zone, getPublicAddress } = this.#options;
    if (this.isDark || this.#hasLeft) {
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
      ...this.#describe(),
    });
  }

  #describe() {
    const { domain } = this.#options;
    if (domain === undefined) {
      return { born: this.#bornMs };
    }
    const models = this.#lastModel === undefined ? [] : [this.#lastModel];
    return {
      born: this.#bornMs,
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

  #handle(req: IncomingMessage, res: ServerResponse): void {
    if (this.isDark) {
      return;
    }
    if (req.url === "/v1/report") {
      answerJson(res, 200, { ...this.#describe(), Running: 0, Waiting: 0 });
      return;
    }
    const handled = req.url === "/v1/order"
      ? this.#handleOrder(req, res)
      : this.#handleRequest(req, res);
    handled.catch(() => res.destroy());
  }

  async #handleOrder(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = await readJson(req) as WireOrder;
    if (this.lateOrders > 0) {
      this.lateOrders--;
      setTimeout(() => this.#applyOrder(order), 1_500).unref();
      return;
    }
    answerJson(res, this.#applyOrder(order), {});
  }

  #applyOrder(order: WireOrder): number {
    const { FencingToken: token = 0 } = order;
    if (token < this.#fence) {
      return 412;
    }
    this.#fence = token;
    if (order.Operation === "join") {
      return this.#join(order);
    }
    const group = this.#group;
    if (group?.Name !== order.group || group.epoch !== order.epoch) {
      return 409;
    }
    if (order.Operation === "leave") {
      this.#group = undefined;
    } else if (order.Operation === "close") {
      group.State = "ready";
    } else if (order.Operation === "open") {
      if (group.State !== "ready") {
        return group.State === "open" ? 200 : 409;
      }
      this.#change(group, "open", FORM_MS);
      return 202;
    }
    this.publishEntry();
    return 200;
  }

  #join(order: WireOrder): number {
    if (order.epoch < (this.#group?.epoch ?? 0)) {
      return 412;
    }
    this.conflictingJoins += this.#isServing() ? 1 : 0;
    const group: WireGroup = {
      Name: order.group,
      epoch: order.epoch,
      rank: order.Members.indexOf(this.#options.id),
      members: order.Members,
      State: "joining",
    };
    this.#group = group;
    this.publishEntry();
    this.#lastModel = order.Model;
    this.#change(group, "ready", JOIN_MS);
    return 202;
  }

  /** Gets whether the head of this server's group takes requests. */
  #isServing(): boolean {
    const head = this.#options.fleet.get(this.#group?.members[0] ?? "");
    const state = head?.group?.Name === this.#group?.Name && !head?.isDark
      ? head?.group?.State
      : undefined;
    return state === "open" || state === "closing";
  }

  #change(group: WireGroup, state: WireGroup["State"], afterMs: number): void {
    setTimeout(() => {
      if (this.#group === group) {
        group.State = state;
        this.#readyIn.add(group.Name);
        this.publishEntry();
      }
    }, afterMs).unref();
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { id, runs, domain, zone, fleet } = this.#options;
    const requestId = String(req.headers["request-id"]);
    await readJson(req).catch(() => undefined);
    if (req.headers["expect-instance"] !== id) {
      res.writeHead(421, { "instance-id": id });
      res.end();
      return;
    }
    if (domain !== undefined && this.#group?.State !== "open") {
      res.writeHead(503, { "not-executed": "1" });
      res.end();
      return;
    }
    runs.push({
      requestId,
      serverId: id,
      tenant: req.headers.tenant as string | undefined,
      key: req.headers.credential as string | undefined,
      isWhole: this.#isWhole(),
      hasFormed: this.#group?.members.every((member) =>
        fleet.get(member)?.hasBeenReadyIn(this.#group!.Name)
      ) ?? domain === undefined,
      atMs: Date.now(),
      zone,
    });
    const headers = { "request-id": requestId, "response-signature": id };
    if (this.lostAnswers > 0) {
      this.lostAnswers--;
      req.socket.resetAndDestroy();
    } else if (domain === undefined) {
      res.writeHead(200, headers);
      res.end(`done by ${id}`);
    } else {
      res.writeHead(200, { ...headers, "content-type": "text/event-stream" });
      this.#stream(res, Number(req.headers["last-event-id"] ?? 0));
    }
  }

  /** Sends events while all members of the group are there; without one of them nothing moves. */
  #stream(res: ServerResponse, after: number): void {
    const { events = 20, eventMs = 20 } = this.#options;
    let id = after;
    const timer = setInterval(() => {
      if (this.isDark || !this.#isWhole()) {
        return;
      }
      id++;
      res.write(`id: ${id}\ndata: ${id}\n\n`);
      if (id >= events) {
        clearInterval(timer);
        res.end();
      }
    }, eventMs);
    res.on("close", () => clearInterval(timer));
  }

  #isWhole(): boolean {
    const group = this.#group;
    return group === undefined || group.members.every((id) => {
      const member = this.#options.fleet.get(id);
      return member !== undefined && !member.isDark &&
        member.group?.Name === group.Name && member.group.epoch === group.epoch;
    });
  }
}
