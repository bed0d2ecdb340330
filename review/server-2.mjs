// Stand-in of a backend server (model server or plain service), as PROTOCOL.md says.
// Runs inside a script, or as a process of its own: node server-2.mjs '<options as JSON>'.
// Each run and its end are reported as one JSON line, or to `onEvent`.
import { createServer, request } from "node:http";
import { createHash } from "node:crypto";
import { pathToFileURL } from "node:url";

const HEARTBEAT_MS = 1_200;

export class Server {
  #options;
  #server = createServer((req, res) => this.#handle(req, res));
  #sockets = new Set();
  #sequence = 0;
  #orders = 0;
  #fence = 0;
  #epoch = 0;
  #group;
  #model;
  #staged = [];
  #running = 0;
  #queue = [];
  #timer;
  #hasRequest = false;
  #isUp = false;
  #revision;

  /**
   * @param options id, service, zone, domain, host, store, slots, models (model servers),
   *   eventMs, events, workMs, isUnframed, behave(request), onEvent(event).
   */
  constructor(options) {
    this.#options = { slots: 6, workMs: 60, eventMs: 60, events: 30, ...options };
    this.id = options.id;
    this.born = Date.now();
    this.#server.keepAliveTimeout = 30_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
  }

  get group() {
    return this.#group;
  }

  async start(port = 0) {
    const { host } = this.#options;
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.port = this.#server.address().port;
    this.address = `${host}:${this.port}`;
    this.#isUp = true;
    await this.register();
    this.#timer = setInterval(() => void this.register(), HEARTBEAT_MS);
  }

  /** Ends at once, as a crashed process does: the listener and all channels are gone. */
  crash() {
    this.#isUp = false;
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  stop() {
    this.#isUp = false;
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Ends its liveness reports, as a server that leaves without `draining` does, and goes on serving. */
  stopReporting() {
    clearInterval(this.#timer);
    this.register = () => Promise.resolve();
  }

  get isUp() {
    return this.#isUp;
  }

  #describe() {
    return {
      born: this.born,
      Models: this.#model ? [{ Name: this.#model, Version: 1, Adapters: [] }] : [],
      Staged: this.#staged,
      ...(this.#options.domain ? { Domain: this.#options.domain, Stage: "prefill_decode" } : {}),
      ...(this.#group
        ? { group: { Name: this.#group.name, epoch: this.#group.epoch, rank: this.#group.rank, State: this.#group.state } }
        : {}),
    };
  }

  /** Writes the entry of this server in the store. */
  async register() {
    if (!this.#isUp) return;
    const { service, zone, slots, store } = this.#options;
    const Spec = {
      Service: service,
      Address: this.address,
      Zone: zone,
      Version: "v1",
      Slots: slots,
      State: "ready",
      ColdLeftMs: 0,
      Sequence: ++this.#sequence,
      ...this.#describe(),
    };
    const isNew = this.#revision === undefined;
    const answer = await callJson(store, isNew ? "POST" : "PUT", `/v1/objects/servers${isNew ? "" : `/${this.id}`}`, {
      Metadata: { Name: this.id },
      Spec,
    });
    if (answer?.status === 200) this.#revision = true;
    if (answer?.status === 409) this.#revision = true;
    if (answer?.status === 404) this.#revision = undefined;
  }

  async #handle(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { "Instance-Id": this.id, "content-length": 0 });
      return res.end();
    }
    const body = Buffer.concat(chunks);
    if (req.url === "/health") {
      res.writeHead(200, { "Instance-Id": this.id, "content-length": 0 });
      return res.end();
    }
    if (req.url === "/v1/report") {
      return sendJson(res, 200, {
        Stage: "prefill_decode",
        Busy: false,
        Sequence: this.#orders,
        Waiting: 0,
        Running: this.#running,
        KvUsed: 0,
        KvTotal: 1_312_941,
        Handles: 0,
        pace: 1,
        ...this.#describe(),
      });
    }
    if (req.url === "/v1/order") return sendJson(res, this.#order(JSON.parse(body)), {});
    this.#serve(req, res, body);
  }

  #order({ Operation, group: name, epoch, Model, Members, FencingToken = 0 }) {
    if (FencingToken < this.#fence) return 412;
    this.#fence = FencingToken;
    const group = this.#group;
    const isOwn = group?.name === name && group?.epoch === epoch;
    switch (Operation) {
      case "join": {
        if (epoch < this.#epoch) return 412;
        if (isOwn) return String(group.members) === String(Members) ? 200 : 412;
        this.#epoch = epoch;
        this.#orders++;
        const model = this.#options.models.find((m) => m.Name === Model);
        const waitMs = this.#model === Model
          ? 200
          : this.#staged.includes(Model)
          ? model.WarmS * 1_000
          : model.LoadS * (this.#hasRequest ? 1_000 : 100);
        const joined = { name, epoch, members: Members, rank: Members.indexOf(this.id), state: "joining" };
        this.#group = joined;
        void this.register();
        setTimeout(() => {
          if (this.#group !== joined) return;
          joined.state = "ready";
          this.#model = Model;
          this.#staged = [Model];
          void this.register();
        }, waitMs);
        return 202;
      }
      case "open":
        if (!isOwn || group.rank !== 0) return 409;
        if (group.state === "open") return 200;
        if (group.state !== "ready") return 409;
        this.#orders++;
        setTimeout(() => {
          if (this.#group === group && group.state === "ready") {
            group.state = "open";
            void this.register();
          }
        }, 300);
        return 202;
      case "close":
        if (!isOwn) return 409;
        if (group.state !== "open") return 200;
        group.state = "ready";
        void this.register();
        return 202;
      case "leave":
        if (!isOwn) return 409;
        this.#group = undefined;
        void this.register();
        return 200;
      case "stage":
      case "Stage":
        this.#staged = [Model];
        return 202;
      default:
        return 400;
    }
  }

  #serve(req, res, body) {
    const { domain, slots, behave, service } = this.#options;
    this.#hasRequest = true;
    const id = req.headers["request-id"];
    const event = { server: this.id, service, id, path: req.url };
    this.report({ what: "arrives", ...event });
    const own = { req, res, body, id, event };
    if (behave?.(own, this) === true) return;
    if (domain !== undefined && (this.#group?.state !== "open" || this.#group.rank !== 0)) {
      res.writeHead(421, { "Request-Id": id, "Instance-Id": this.id, "At-Server": this.id, "content-length": 0 });
      return res.end();
    }
    if (this.#running >= slots) {
      if (this.#queue.length >= slots * 4) return this.refuse(own);
      this.#queue.push(own);
    } else {
      this.run(own);
    }
  }

  /** Turns a request away that has not run. */
  refuse({ res, id, event }, headers = {}) {
    this.report({ what: "refuses", ...event });
    res.writeHead(503, { "Request-Id": id, "Not-Executed": "1", "content-length": 0, ...headers });
    res.end();
  }

  run(own) {
    const { domain, workMs } = this.#options;
    const { res, event } = own;
    this.#running++;
    this.report({ what: "runs", ...event });
    let isOver = false;
    const end = () => {
      if (isOver) return;
      isOver = true;
      this.#running--;
      const next = this.#queue.shift();
      if (next !== undefined && !next.res.destroyed) this.run(next);
    };
    res.on("close", end);
    if (domain === undefined) {
      setTimeout(() => {
        if (!res.destroyed) this.#answer(own);
      }, own.workMs ?? workMs);
    } else {
      this.#stream(own);
    }
  }

  #answer({ res, id, event }) {
    const body = createHash("sha256").update(id).digest("hex").repeat(12);
    res.writeHead(200, { "Request-Id": id, "Response-Signature": `${this.id}.${id}`, "content-length": body.length });
    res.end(body);
    this.report({ what: "answers", ...event });
  }

  #stream({ req, res, id, event }) {
    const { events, eventMs, isUnframed } = this.#options;
    const headers = {
      "Request-Id": id,
      "Response-Signature": `${this.id}.${id}`,
      "Content-Type": "text/event-stream",
    };
    if (isUnframed) {
      // Neither a length nor chunks: the answer ends with its channel.
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    res.writeHead(200, headers);
    let next = Number(req.headers["last-event-id"] ?? 0) + 1;
    const timer = setInterval(() => {
      if (res.destroyed) return clearInterval(timer);
      if (next > events) {
        clearInterval(timer);
        res.end();
        this.report({ what: "answers", ...event });
        return;
      }
      res.write(`id: ${next}\ndata: token-${next}-of-${events}\n\n`);
      next++;
    }, eventMs);
  }

  report(event) {
    const line = { atMs: Date.now(), ...event };
    if (this.#options.onEvent) this.#options.onEvent(line);
    else process.stdout.write(`${JSON.stringify(line)}\n`);
  }
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

function callJson(address, method, path, body) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, agent: false, headers: { "content-type": "application/json" } }, (res) => {
      res.resume();
      res.on("end", () => resolve({ status: res.statusCode }));
    });
    req.on("error", () => resolve(undefined));
    req.end(JSON.stringify(body));
  });
}

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
  const server = new Server(JSON.parse(process.argv[2]));
  await server.start();
  server.report({ what: "started", server: server.id, address: server.address });
}
