// Stand-in of the platform's metadata store: objects by kind and name, revisions, conditional writes, watches.
import { createServer } from "node:http";

export class Store {
  #kinds = new Map();
  #events = [];
  #waiters = new Set();
  #revision = 1;
  #server = createServer((req, res) => this.#handle(req, res));

  async listen() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #kind(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  /** Writes an object, as the operator or a server does. The write is acknowledged when this returns. */
  put(kind, name, spec) {
    const known = this.#kind(kind).get(name);
    if (known !== undefined && JSON.stringify(known.Spec) === JSON.stringify(spec)) return known;
    const revision = ++this.#revision;
    const object = { Metadata: { Name: name, Revision: revision, Created: known?.Metadata.Created ?? revision, Finalizers: [], Deleting: false }, Spec: spec, Status: null };
    this.#kind(kind).set(name, object);
    this.#publish(kind, object, false);
    return object;
  }

  delete(kind, name) {
    const object = this.#kind(kind).get(name);
    if (object === undefined) return;
    this.#kind(kind).delete(name);
    this.#publish(kind, { ...object, Metadata: { ...object.Metadata, Revision: ++this.#revision } }, true);
  }

  #publish(kind, object, isDeleted) {
    this.#events.push({ kind, revision: object.Metadata.Revision, event: { Deleted: isDeleted, Object: object } });
    for (const wake of [...this.#waiters]) wake();
  }

  async #handle(req, res) {
    let text = "";
    for await (const chunk of req) text += chunk;
    const url = new URL(req.url, "http://store");
    const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    const body = text === "" ? undefined : JSON.parse(text);
    if (req.method === "GET" && name !== undefined) {
      const object = this.#kind(kind).get(name);
      return answer(res, object === undefined ? 404 : 200, object ?? {});
    }
    if (req.method === "GET" && url.searchParams.has("Watch")) return this.#watch(res, kind, url.searchParams);
    if (req.method === "GET") {
      const after = url.searchParams.get("After") ?? "";
      const names = [...this.#kind(kind).keys()].sort().filter((n) => n > after);
      const items = names.slice(0, 500).map((n) => this.#kind(kind).get(n));
      return answer(res, 200, { Items: items, More: names.length > 500, At: this.#revision });
    }
    const target = name ?? body.Metadata.Name;
    const known = this.#kind(kind).get(target);
    const revision = body?.Metadata?.Revision ?? url.searchParams.get("Revision");
    if (req.method === "POST" ? known !== undefined : revision != null && known !== undefined && known.Metadata.Revision !== Number(revision)) {
      return answer(res, 409, known ?? {});
    }
    if (req.method !== "POST" && known === undefined) return answer(res, 404, {});
    if (req.method === "DELETE") {
      this.delete(kind, target);
      return answer(res, 200, {});
    }
    answer(res, 200, this.put(kind, target, body.Spec));
  }

  async #watch(res, kind, query) {
    const since = Number(query.get("Watch"));
    const endMs = performance.now() + Math.min(30_000, Number(query.get("WaitMs")));
    for (;;) {
      const events = this.#events.filter((e) => e.kind === kind && e.revision > since).map((e) => e.event);
      if (events.length > 0 || performance.now() >= endMs || res.destroyed) {
        return answer(res, 200, { events, At: this.#revision });
      }
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          done();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - performance.now()));
        this.#waiters.add(wake);
      });
    }
  }
}

function answer(res, status, body) {
  if (res.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(body));
  res.writeHead(status, { "content-type": "application/json", "content-length": bytes.length });
  res.end(bytes);
}
