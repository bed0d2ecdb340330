// Stand-in of the platform's metadata store: objects by kind and name, revisions,
// conditional writes and watches, as "The platform's metadata store" in PROTOCOL.md says.
import { createServer } from "node:http";

export class Store {
  #kinds = new Map();
  #events = [];
  #wakers = new Set();
  #server = createServer((req, res) => this.#handle(req, res));
  revision = 100;
  /** Rises by one with each restore from a copy. */
  era = 1;
  /** Called when a list of a kind, or its changes, have been read. */
  onRead = () => {};
  /** While it is away, the store answers nothing. */
  isAway = false;

  async start(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator or a server does. */
  put(kind, name, spec) {
    const objects = this.#kind(kind);
    const old = objects.get(name);
    if (old && JSON.stringify(old.Spec) === JSON.stringify(spec)) return old;
    const object = {
      Metadata: {
        Name: name,
        Revision: ++this.revision,
        Created: old?.Metadata.Created ?? Date.now(),
        Finalizers: [],
        Deleting: false,
      },
      Spec: spec,
      Status: old?.Status ?? null,
    };
    objects.set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const old = this.#kind(kind).get(name);
    if (old === undefined) return;
    this.#kind(kind).delete(name);
    const Metadata = { ...old.Metadata, Revision: ++this.revision };
    this.#record(kind, { ...old, Metadata }, true);
  }

  /** Copies the objects as they are now. */
  copy() {
    return {
      revision: this.revision,
      kinds: new Map([...this.#kinds].map(([kind, objects]) => [kind, new Map(objects)])),
    };
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restore(copy) {
    this.#kinds = new Map([...copy.kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    this.#events = this.#events.filter(({ revision }) => revision <= copy.revision);
    this.revision = copy.revision;
    this.era++;
    [...this.#wakers].forEach((wake) => wake());
  }

  list(kind) {
    return [...this.#kind(kind).values()];
  }

  #kind(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #record(kind, object, isDeleted) {
    this.#events.push({ kind, revision: this.revision, Deleted: isDeleted, Object: object });
    [...this.#wakers].forEach((wake) => wake());
  }

  async #handle(req, res) {
    if (this.isAway) return;
    let text = "";
    for await (const chunk of req) text += chunk;
    const url = new URL(req.url, "http://store");
    const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    const send = (status, body) => {
      res.writeHead(status, { "content-type": "application/json", "store-era": String(this.era) });
      res.end(JSON.stringify(body));
    };
    const objects = this.#kind(kind);
    if (req.method === "GET" && url.searchParams.has("Watch")) {
      return await this.#watch(kind, url, res, send);
    }
    if (req.method === "GET" && name === undefined) {
      const after = url.searchParams.get("After") ?? "";
      const names = [...objects.keys()].sort().filter((n) => n > after);
      const page = names.slice(0, 500);
      this.onRead(kind);
      return send(200, {
        Items: page.map((n) => objects.get(n)),
        More: page.length < names.length,
        At: this.revision,
      });
    }
    if (req.method === "GET") {
      return objects.has(name) ? send(200, objects.get(name)) : send(404, {});
    }
    const body = text === "" ? {} : JSON.parse(text);
    const key = name ?? body.Metadata?.Name;
    const old = objects.get(key);
    const given = body.Metadata?.Revision ?? url.searchParams.get("Revision");
    if (req.method === "POST") {
      return old ? send(409, old) : send(200, this.put(kind, key, body.Spec));
    }
    if (old === undefined) return send(404, {});
    if (given != null && Number(given) !== old.Metadata.Revision) return send(409, old);
    if (req.method === "DELETE") {
      this.remove(kind, key);
      return send(200, {});
    }
    return send(200, this.put(kind, key, body.Spec));
  }

  async #watch(kind, url, res, send) {
    const since = Number(url.searchParams.get("Watch"));
    const { era } = this;
    const endMs = Date.now() + Math.min(30_000, Number(url.searchParams.get("WaitMs") ?? 0));
    for (;;) {
      if (this.isAway) return;
      if (this.era !== era) return res.destroy();
      if (since > this.revision) return send(410, {});
      const events = this.#events.filter((e) => e.kind === kind && e.revision > since);
      if (events.length > 0 || Date.now() >= endMs) {
        this.onRead(kind);
        return send(200, {
          events: events.map(({ Deleted, Object }) => ({ Deleted, Object })),
          At: this.revision,
        });
      }
      if (res.destroyed) return;
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#wakers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - Date.now()));
        this.#wakers.add(wake);
      });
    }
  }
}
