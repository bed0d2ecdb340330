import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { delay } from "../src/shared/delay.ts";
import { HttpListener } from "./http_listener.ts";

/** Size of a page of a list in bytes; an object that is larger has a page of its own. */
const MAX_PAGE_BYTES = 1_000_000;

/** Object in the format of the platform's store. */
export interface PlatformObject {
  readonly Metadata: { readonly Name: string; readonly Revision: number };
  readonly Spec: unknown;
}

interface PlatformEvent {
  readonly kind: string;
  readonly revision: number;
  readonly Deleted: boolean;
  readonly Object: PlatformObject;
}

/** State of the store at an earlier moment, from which it can be restored. */
export interface StoreCopy {
  readonly revision: number;
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, PlatformObject>>;
}

/** Fault of the store: with `silent` it does not respond to requests, with `busy` it refuses them with status 503. */
export type FakeStoreFault = "none" | "silent" | "busy";

/** Fake of the platform's object store, with revisions, conditional writes and watches. It can simulate outages, the loss of its event history and a restore from a copy. */
export class FakeObjectStore {
  readonly #listener = new HttpListener((req, res) => this.#handle(req, res));
  readonly #kinds = new Map<string, Map<string, PlatformObject>>();
  readonly #events: PlatformEvent[] = [];
  readonly #wakeCallbacks = new Set<() => void>();
  readonly #watchCounts = new Map<string, number>();
  /** Waiting watches with the kind that they watch. */
  readonly #waitingWatches = new Map<ServerResponse, string>();
  /** Connections on which no response is sent any more. */
  readonly #silentSockets = new WeakSet<Socket>();
  /** Bytes of the objects that are not returned as their JSON. */
  readonly #encodedObjects = new WeakMap<PlatformObject, Buffer>();
  #revision = 1;
  #historyStart = 0;
  /** Number of the store's lifetime between two restores, which all responses contain; undefined for a store that does not send it. */
  era: number | undefined = 1;
  fault: FakeStoreFault = "none";
  /** Time before a write takes effect, in milliseconds. */
  writeDelayMs = 0;

  /** Returns the address as `host:port`. */
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

  /** Writes an object unconditionally, as an operator or a backend server does. */
  putObject(kind: string, name: string, spec: unknown): void {
    const object = {
      Metadata: { Name: name, Revision: ++this.#revision },
      Spec: spec,
    };
    this.#getKind(kind).set(name, object);
    this.#recordEvent(kind, object, false);
  }

  /**
   * Writes an object that the store returns as the given bytes, as it may return an object of an odd writer.
   *
   * @param kind - Kind of the object.
   * @param name - Name of the object.
   * @param encode - Encodes the object with its revision.
   */
  putEncodedObject(
    kind: string,
    name: string,
    encode: (revision: number) => string | Buffer,
  ): void {
    const Revision = ++this.#revision;
    const object = { Metadata: { Name: name, Revision }, Spec: null };
    this.#encodedObjects.set(object, Buffer.from(encode(Revision)));
    this.#getKind(kind).set(name, object);
    this.#recordEvent(kind, object, false);
  }

  /** Removes an object. */
  deleteObject(kind: string, name: string): void {
    const object = this.#getKind(kind).get(name);
    if (object !== undefined) {
      this.#getKind(kind).delete(name);
      const Metadata = { Name: name, Revision: ++this.#revision };
      this.#recordEvent(kind, { ...object, Metadata }, true);
    }
  }

  /** Returns the content of an object, or undefined when the object does not exist. */
  getObject(kind: string, name: string): unknown {
    return this.#getKind(kind).get(name)?.Spec;
  }

  /** Returns the number of watches of a kind that are waiting for a change. */
  countWatches(kind: string): number {
    return this.#watchCounts.get(kind) ?? 0;
  }

  /**
   * Keeps the connections on which watches of a kind wait open without ever sending another response on them.
   *
   * @returns The number of connections.
   */
  assumeSilentWatches(kind: string): number {
    const sockets = [...this.#waitingWatches]
      .filter(([, watchedKind]) => watchedKind === kind)
      .flatMap(([{ socket }]) => socket ?? []);
    sockets.forEach((socket) => this.#silentSockets.add(socket));
    return sockets.length;
  }

  /** Deletes the event history, so that watches of earlier revisions get status 410 and clients have to list the objects again. */
  dropHistory(): void {
    this.#events.length = 0;
    this.#historyStart = this.#revision;
    this.#wakeWatches();
  }

  /** Copies the objects and the revision. */
  createCopy(): StoreCopy {
    const kinds = new Map(
      [...this.#kinds].map(([kind, objects]) => [kind, new Map(objects)]),
    );
    return { revision: this.#revision, kinds };
  }

  /** Restores the store from a copy: changes since then are lost, their revisions are given out again, and waiting watches are cut off. */
  applyCopy(copy: StoreCopy): void {
    this.#kinds.clear();
    copy.kinds.forEach((objects, kind) =>
      this.#kinds.set(kind, new Map(objects))
    );
    this.#events.splice(
      0,
      this.#events.length,
      ...this.#events.filter(({ revision }) => revision <= copy.revision),
    );
    this.#revision = copy.revision;
    this.era = (this.era ?? 0) + 1;
    this.#wakeWatches();
  }

  #getKind(kind: string): Map<string, PlatformObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, PlatformObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #recordEvent(kind: string, object: PlatformObject, isDeleted: boolean): void {
    this.#events.push({
      kind,
      revision: object.Metadata.Revision,
      Deleted: isDeleted,
      Object: object,
    });
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    [...this.#wakeCallbacks].forEach((wake) => wake());
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    if (this.fault === "silent" || this.#silentSockets.has(req.socket)) {
      return;
    }
    if (this.fault === "busy") {
      this.#answer(res, 503, {});
      return;
    }
    readJson(req).then((body) => this.#handleRequest(req, res, body)).catch(
      () => res.destroy(),
    );
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
    body: unknown,
  ): Promise<void> {
    const url = new URL(req.url ?? "/", "http://store");
    const [kind, name] = url.pathname.split("/").slice(3)
      .map(decodeURIComponent);
    if (req.method !== "GET") {
      if (this.writeDelayMs > 0) {
        await delay(this.writeDelayMs);
      }
      this.#applyChange(res, { method: req.method!, kind, name, url, body });
    } else if (url.searchParams.has("Watch")) {
      await this.#watch(res, kind, url);
    } else if (name === undefined) {
      this.#sendBytes(
        res,
        this.#encodePage(kind, url.searchParams.get("After") ?? ""),
      );
    } else {
      const object = this.#getKind(kind).get(name);
      if (object === undefined) {
        this.#answer(res, 404, {});
      } else {
        this.#sendBytes(res, this.#encodeObject(object));
      }
    }
  }

  #applyChange(res: ServerResponse, change: {
    method: string;
    kind: string;
    name: string | undefined;
    url: URL;
    body: unknown;
  }): void {
    const object = change.body as PlatformObject | undefined;
    const name = change.name ?? object!.Metadata.Name;
    const current = this.#getKind(change.kind).get(name);
    const revision = object?.Metadata.Revision ??
      change.url.searchParams.get("Revision");
    const isConflict = change.method === "POST"
      ? current !== undefined
      : revision != null && current?.Metadata.Revision !== Number(revision);
    if (isConflict) {
      this.#answer(res, 409, current ?? {});
      return;
    }
    if (change.method === "DELETE") {
      this.deleteObject(change.kind, name);
      this.#answer(res, 200, {});
      return;
    }
    this.putObject(change.kind, name, object!.Spec);
    this.#answer(res, 200, this.#getKind(change.kind).get(name));
  }

  async #watch(res: ServerResponse, kind: string, url: URL): Promise<void> {
    const since = Number(url.searchParams.get("Watch"));
    const { era } = this;
    const endMs = Date.now() + Number(url.searchParams.get("WaitMs"));
    for (;;) {
      if (res.socket !== null && this.#silentSockets.has(res.socket)) {
        return;
      }
      if (this.era !== era) {
        res.destroy();
        return;
      }
      if (since < this.#historyStart || since > this.#revision) {
        this.#answer(res, 410, {});
        return;
      }
      const events = this.#events.filter((event) =>
        event.kind === kind && event.revision > since
      );
      if (events.length > 0 || Date.now() >= endMs || res.destroyed) {
        const encodedEvents = events.map(({ Deleted, Object: object }) =>
          Buffer.concat([
            Buffer.from(`{"Deleted":${Deleted},"Object":`),
            this.#encodeObject(object),
            Buffer.from("}"),
          ])
        );
        this.#sendBytes(
          res,
          encodeList("events", encodedEvents, { At: this.#revision }),
        );
        return;
      }
      this.#watchCounts.set(kind, this.countWatches(kind) + 1);
      this.#waitingWatches.set(res, kind);
      await this.#waitForChange(endMs - Date.now());
      this.#waitingWatches.delete(res);
      this.#watchCounts.set(kind, this.countWatches(kind) - 1);
    }
  }

  /** Encodes the objects of a kind whose names follow the given one, up to the size of a page. */
  #encodePage(kind: string, after: string): Buffer {
    const names = [...this.#getKind(kind).keys()].sort().filter((name) =>
      name > after
    );
    const items: Buffer[] = [];
    let pageBytes = 0;
    for (const name of names) {
      const item = this.#encodeObject(this.#getKind(kind).get(name)!);
      if (items.length > 0 && pageBytes + item.length > MAX_PAGE_BYTES) {
        break;
      }
      items.push(item);
      pageBytes += item.length;
    }
    return encodeList("Items", items, {
      More: items.length < names.length,
      At: this.#revision,
    });
  }

  #encodeObject(object: PlatformObject): Buffer {
    return this.#encodedObjects.get(object) ??
      Buffer.from(JSON.stringify(object));
  }

  #answer(res: ServerResponse, status: number, body: unknown): void {
    this.#setEra(res);
    sendJson(res, status, body);
  }

  #sendBytes(res: ServerResponse, bytes: Buffer): void {
    this.#setEra(res);
    sendBytes(res, bytes);
  }

  #setEra(res: ServerResponse): void {
    if (this.era !== undefined) {
      res.setHeader("store-era", this.era);
    }
  }

  #waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#wakeCallbacks.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, timeoutMs));
      this.#wakeCallbacks.add(wake);
    });
  }
}

/** Sends a response with a JSON body. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** Encodes an object that has a list of encoded elements and other fields. */
function encodeList(
  name: string,
  elements: readonly Buffer[],
  fields: Readonly<Record<string, unknown>>,
): Buffer {
  const separatedElements = elements.flatMap((element, index) =>
    index === 0 ? [element] : [Buffer.from(","), element]
  );
  return Buffer.concat([
    Buffer.from(`{"${name}":[`),
    ...separatedElements,
    Buffer.from(`],${JSON.stringify(fields).slice(1)}`),
  ]);
}

function sendBytes(res: ServerResponse, body: Buffer): void {
  res.writeHead(200, { "content-type": "application/json" });
  res.end(body);
}

/** Reads the JSON body of a request; returns undefined when the body is empty. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of req) {
    text += chunk;
  }
  return text === "" ? undefined : JSON.parse(text);
}
