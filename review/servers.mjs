// Stand-ins of backend servers: a plain service, and a model server that joins groups.
import { createServer } from "node:http";
import { delay, HEARTBEAT_MS } from "./run.mjs";

let serverCount = 0;

class Server {
  sockets = new Set();
  #sequence = 0;
  #heartbeat;
  #isDown = false;

  constructor({ run, store, service, zone, slots, domain, behaviour = {} }) {
    Object.assign(this, { run, store, service, zone, slots, domain, behaviour });
    this.isOver = false;
  }

  /** Starts a process of the server: a new lifetime with a new id. */
  async start() {
    this.id = `i-${(++serverCount).toString(16).padStart(8, "0")}`;
    this.born = Date.now();
    this.#isDown = false;
    this.reset();
    this.http = createServer((req, res) => {
      res.on("error", () => {});
      Promise.resolve(this.silence).then(() => this.handle(req, res)).catch(() => res.destroy());
    });
    this.http.keepAliveTimeout = 15_000;
    this.http.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
    });
    await new Promise((done) => this.http.listen(0, "127.0.0.1", done));
    this.address = `127.0.0.1:${this.http.address().port}`;
    this.run.record("server-start", `${this.id} ${this.service} ${this.zone}`);
    this.publish();
    this.#heartbeat = setInterval(() => this.publish(), HEARTBEAT_MS);
    this.#heartbeat.unref();
  }

  reset() {}
  describe() {
    return {};
  }

  publish() {
    if (this.#isDown || this.isOver || this.silence !== undefined) return;
    this.store.put("servers", this.id, {
      Service: this.service, Address: this.address, Zone: this.zone, Version: "v1", Slots: this.slots,
      State: "ready", ColdLeftMs: 0, Sequence: ++this.#sequence, born: this.born, ...this.describe(),
    });
  }

  /** The process ends: its connections are reset, it sends no heartbeat, and its entry is removed after three intervals. A new process starts after `backMs`. */
  crash(backMs) {
    if (this.#isDown) return;
    this.#isDown = true;
    clearInterval(this.#heartbeat);
    const { id, http } = this;
    this.run.record("server-crash", id);
    http.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    setTimeout(() => this.store.delete("servers", id), 3 * HEARTBEAT_MS).unref();
    setTimeout(() => {
      if (!this.isOver) this.start();
    }, backMs).unref();
  }

  get isDown() {
    return this.#isDown;
  }

  /** The process does nothing for a while, and then goes on where it was. */
  fallSilent(ms) {
    this.run.record("server-silent", `${this.id} for ${ms} ms`);
    this.silence = delay(ms).then(() => {
      this.silence = undefined;
      this.run.record("server-goes-on", this.id);
    });
  }

  close() {
    this.isOver = true;
    clearInterval(this.#heartbeat);
    this.http.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

async function readBody(req) {
  let text = "";
  for await (const chunk of req) text += chunk;
  return text;
}

/** Answers a request for another instance. Returns whether it did. */
function refuseForeign(server, req, res) {
  const expected = req.headers["expect-instance"];
  if (expected === undefined || expected === server.id) return false;
  res.writeHead(421, { "instance-id": server.id, "not-executed": "1", ...(req.headers["request-id"] ? { "request-id": req.headers["request-id"] } : {}), "content-length": 0 });
  res.end();
  return true;
}

/** Server of a plain service. `behaviour.onRun` may take over the answer by returning true. */
export class PlainServer extends Server {
  running = 0;
  queue = [];

  reset() {
    this.running = 0;
    this.queue = [];
  }

  async handle(req, res) {
    const requestId = req.headers["request-id"];
    await readBody(req);
    if (refuseForeign(this, req, res)) return;
    if (this.running >= this.slots) {
      if (this.queue.length >= this.slots * 4) {
        res.writeHead(503, { "not-executed": "1", "request-id": requestId, "content-length": 0 });
        return void res.end();
      }
      await new Promise((done) => this.queue.push(done));
    }
    const life = this.id;
    this.running++;
    try {
      if (res.destroyed) return;
      this.run.record("run", { id: requestId, server: life, service: this.service, path: req.url, tenant: req.headers.tenant });
      if (this.behaviour.onRun?.(this, req, res)) return;
      await delay(this.behaviour.workMs ?? 60);
      if (this.id !== life || this.isDown) return;
      const body = `done by ${this.service}`;
      res.writeHead(200, { "request-id": requestId, "response-signature": `${life}.${requestId}`, "content-length": body.length });
      res.end(body);
    } finally {
      if (this.id === life) {
        this.running--;
        this.queue.shift()?.();
      }
    }
  }
}

/** Model server with the orders of groups. `behaviour.onEvent(server, req, res, id)` may end the stream by returning true. */
export class ModelServer extends Server {
  reset() {
    this.group = undefined;
    this.models = [];
    this.fence = 0;
    this.epoch = 0;
    this.orders = 0;
    this.lastModel = undefined;
  }

  describe() {
    return {
      Stage: "prefill_decode", Domain: this.domain, Staged: this.staged ?? [],
      Models: this.models.map((Name) => ({ Name, Version: 1, Adapters: [] })),
      group: this.group === undefined ? null : { Name: this.group.Name, epoch: this.group.epoch, rank: this.group.rank, State: this.group.State },
    };
  }

  async handle(req, res) {
    const body = await readBody(req);
    if (refuseForeign(this, req, res)) return;
    if (req.url === "/v1/report") {
      return sendJson(res, 200, { ...this.describe(), born: this.born, Busy: this.group?.State === "joining", Sequence: this.orders, Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 1312941, Handles: 0, pace: 1 });
    }
    if (req.url === "/v1/order") {
      const order = JSON.parse(body);
      const lateMs = this.behaviour.getDelayMs?.(this, order) ?? 0;
      if (lateMs > 0) {
        // The order gets no answer, and is carried out later in the same lifetime.
        const life = this.id;
        this.run.record("order-unanswered", { server: this.id, ...order, lateMs });
        setTimeout(() => {
          if (this.id !== life || this.isDown) return;
          const status = this.#apply(order);
          this.run.record("order-carried-out-late", { server: this.id, ...order, status });
        }, lateMs).unref();
        return;
      }
      const status = this.#apply(order);
      this.run.record("order", { server: this.id, ...order, status });
      return sendJson(res, status, {});
    }
    const requestId = req.headers["request-id"];
    if (this.group === undefined || this.group.rank !== 0) {
      res.writeHead(421, { "instance-id": this.id, "not-executed": "1", "request-id": requestId, "content-length": 0 });
      return void res.end();
    }
    if (this.group.State !== "open") {
      res.writeHead(503, { "not-executed": "1", "request-id": requestId, "content-length": 0 });
      return void res.end();
    }
    await this.#stream(req, res, requestId);
  }

  async #stream(req, res, requestId) {
    const life = this.id;
    const { group } = this;
    const isMember = () => this.group === group;
    this.run.record("arrive", { id: requestId, server: life, group: `${group.Name}/${group.epoch}`, prefix: req.headers["prompt-prefix"] });
    await delay(this.behaviour.firstMs ?? 80);
    if (this.id !== life || this.isDown || res.destroyed) return;
    // The head has left the group.
    if (!isMember()) return void res.destroy();
    this.run.record("run", { id: requestId, server: life, service: this.service, path: req.url });
    if (this.behaviour.onRun?.(this, req, res)) return;
    res.writeHead(200, { "request-id": requestId, "response-signature": `${life}.${requestId}`, "content-type": "text/event-stream" });
    const count = this.behaviour.events ?? 10;
    for (let id = Number(req.headers["last-event-id"] ?? 0) + 1; id <= count; id++) {
      if (this.id !== life || this.isDown || res.destroyed) return;
      if (this.behaviour.onEvent?.(this, req, res, id)) return;
      await this.silence;
      if (res.destroyed) return;
      res.write(`id: ${id}\ndata: token ${id}\n\n`);
      await delay(this.behaviour.eventMs ?? 20);
    }
    if (!res.destroyed) res.end();
  }

  #apply(order) {
    if ((order.FencingToken ?? 0) < this.fence) return 412;
    this.fence = order.FencingToken ?? this.fence;
    const { group } = this;
    if (order.Operation === "join") return this.#join(order);
    if (order.Operation === "stage") return 200;
    if (group?.Name !== order.group || group.epoch !== order.epoch) return 409;
    this.orders++;
    if (order.Operation === "leave") {
      this.group = undefined;
      this.publish();
      return 200;
    }
    if (order.Operation === "close") {
      group.State = "ready";
      this.publish();
      return 200;
    }
    if (order.Operation === "open") {
      if (group.State === "open") return 200;
      if (group.State !== "ready" || group.rank !== 0) return 409;
      this.#changeLater(group, "open", this.behaviour.formMs ?? 300);
      return 202;
    }
    return 400;
  }

  #join(order) {
    if (order.epoch < this.epoch) return 412;
    if (this.group?.Name === order.group && this.group.epoch === order.epoch) return 200;
    this.behaviour.onJoin?.(this, order);
    this.epoch = order.epoch;
    this.orders++;
    const group = { Name: order.group, epoch: order.epoch, rank: order.Members.indexOf(this.id), State: "joining", members: order.Members };
    this.group = group;
    const { loadMs, warmMs } = this.behaviour.models[order.Model];
    const tookMs = this.lastModel === order.Model ? 200 : this.staged?.includes(order.Model) ? warmMs : loadMs;
    this.publish();
    this.#changeLater(group, "ready", tookMs, () => {
      this.models = [order.Model];
      this.staged = [order.Model];
      this.lastModel = order.Model;
    });
    return 202;
  }

  #changeLater(group, state, ms, apply = () => {}) {
    const life = this.id;
    setTimeout(() => {
      if (this.id === life && !this.isDown && this.group === group) {
        apply();
        group.State = state;
        this.publish();
      }
    }, ms).unref();
  }
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}
