import type { IncomingMessage, ServerResponse } from "node:http";
import { HttpListener } from "./http_listener.ts";

/** Object as the platform's store holds it. */
export interface WireObject {
  readonly Metadata: { readonly Name: string; readonly Revision: number };
  readonly Spec: unknown;
}

interface WireEvent {
  readonly kind: string;
  readonly revision: number;
  readonly Deleted: boolean;
  readonly Object: WireObject;
}

/** How the store treats calls. */
export type WireStoreFault = "none" | "silent" | "busy";

/** Stand-in of the platform's store: objects with revisions, conditional changes, watches, lost history and outages. */
export class WireStore {
  readonly #listener = new HttpListener((req, res) => this.#handle(req, res));
  readonly #kinds = new Map<string, Map<string, WireObject>>();
  readonly #events: WireEvent[] = [];
  readonly #waiting = new Set<() => void>();
  readonly #watched = new Map<string, number>();
  #revision = 1;
  #historyStart = 0;
  fault: WireStoreFault = "none";

  /** Gets the address as `host:port`. */
  get address(): string {
    return this.#listener.address;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this.#listener.listen();
  }

  /** Stops listening. */
  async dispose(): Promise<void> {
    await this.#listener.close();
  }

  /** Writes an object as an operator or a server does. */
  putObject(kind: string, name: string, spec: unknown): void {
    const object = {
      Metadata: { Name: name, Revision: ++this.#revision },
      Spec: spec,
    };
    this.#getKind(kind).set(name, object);
    this.#record(kind, object, false);
  }

  /** Removes an object. */
  deleteObject(kind: string, name: string): void {
    const object = this.#getKind(kind).get(name);
    if (object !== undefined) {
      this.#getKind(kind).delete(name);
      const Metadata = { Name: name, Revision: ++this.#revision };
      this.#record(kind, { ...object, Metadata }, true);
    }
  }

  /** Gets the content of an object. */
  getObject(kind: string, name: string): unknown {
    return this.#getKind(kind).get(name)?.Spec;
  }

  /** Gets the number of watches of a kind that wait for a change. */
  countWatches(kind: string): number {
    return this.#watched.get(kind) ?? 0;
  }

  /** Forgets the history, so that watches have to list again. */
  dropHistory(): void {
    this.#events.length = 0;
    this.#historyStart = this.#revision;
    this.#wake();
  }

  #getKind(kind: string): Map<string, WireObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, WireObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #record(kind: string, object: WireObject, isDeleted: boolean): void {
    this.#events.push({
      kind,
      revision: object.Metadata.Revision,
      Deleted: isDeleted,
      Object: object,
    });
    this.#wake();
  }

  #wake(): void {
    [...this.#waiting].forEach((wake) => wake());
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    if (this.fault === "silent") {
      return;
    }
    if (this.fault === "busy") {
      answerJson(res, 503, {});
      return;
    }
    readJson(req).then((body) => this.#answer(req, res, body)).catch(() =>
      res.destroy()
    );
  }

  async #answer(
    req: IncomingMessage,
    res: ServerResponse,
    body: unknown,
  ): Promise<void> {
    const url = new URL(req.url ?? "/", "http://store");
    const [kind, name] = url.pathname.split("/").slice(3)
      .map(decodeURIComponent);
    if (req.method !== "GET") {
      this.#change(res, { method: req.method!, kind, name, url, body });
    } else if (url.searchParams.has("Watch")) {
      await this.#watch(res, kind, url);
    } else if (name === undefined) {
      const Items = [...this.#getKind(kind).values()];
      answerJson(res, 200, { Items, More: false, At: this.#revision });
    } else {
      const object = this.#getKind(kind).get(name);
      answerJson(res, object === undefined ? 404 : 200, object ?? {});
    }
  }

  #change(res: ServerResponse, call: {
    method: string;
    kind: string;
    name: string | undefined;
    url: URL;
    body: unknown;
  }): void {
    const object = call.body as WireObject | undefined;
    const name = call.name ?? object!.Metadata.Name;
    const known = this.#getKind(call.kind).get(name);
    const revision = object?.Metadata.Revision ??
      call.url.searchParams.get("Revision");
    const isConflict = call.method === "POST"
      ? known !== undefined
      : revision != null && known?.Metadata.Revision !== Number(revision);
    if (isConflict) {
      answerJson(res, 409, known ?? {});
      return;
    }
    if (call.method === "DELETE") {
      this.deleteObject(call.kind, name);
      answerJson(res, 200, {});
      return;
    }
    this.putObject(call.kind, name, object!.Spec);
    answerJson(res, 200, this.#getKind(call.kind).get(name));
  }

  async #watch(res: ServerResponse, kind: string, url: URL): Promise<void> {
    const since = Number(url.searchParams.get("Watch"));
    const endMs = Date.now() + Number(url.searchParams.get("WaitMs"));
    for (;;) {
      if (since < this.#historyStart) {
        answerJson(res, 410, {});
        return;
      }
      const events = this.#events.filter((event) =>
        event.kind === kind && event.revision > since
      );
      if (events.length > 0 || Date.now() >= endMs || res.destroyed) {
        answerJson(res, 200, { events, At: this.#revision });
        return;
      }
      this.#watched.set(kind, this.countWatches(kind) + 1);
      await this.#waitForChange(endMs - Date.now());
      this.#watched.set(kind, this.countWatches(kind) - 1);
    }
  }

  #waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, timeoutMs));
      this.#waiting.add(wake);
    });
  }
}

/** Answers with a JSON body. */
export function answerJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** Reads the JSON body of a request; undefined when it is empty. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const piece of req) {
    text += piece;
  }
  return text === "" ? undefined : JSON.parse(text);
}
