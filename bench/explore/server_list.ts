import type { BackendServer } from "../../src/shared/backend_server.ts";
import type { SimulatedDaemon } from "./simulated_daemon.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time until a daemon receives a change of the list, in milliseconds. */
const LIST_MS = 20;

/** Connection between the list and one daemon. */
interface ListFeed {
  readonly daemon: SimulatedDaemon;
  isHeld: boolean;
  readonly heldChanges: (() => void)[];
}

/** List of the registered servers, whose changes each daemon receives in order, and possibly late. */
export class ServerList {
  readonly #clock: VirtualClock;
  readonly #entries = new Map<string, BackendServer>();
  readonly #feeds = new Map<string, ListFeed>();
  #revision = 0;

  constructor(options: { clock: VirtualClock }) {
    this.#clock = options.clock;
  }

  /** Connects a daemon, which receives the whole list. */
  addDaemon(daemon: SimulatedDaemon): void {
    const entries = [...this.#entries.values()];
    const revision = this.#revision;
    const feed = { daemon, isHeld: false, heldChanges: [] };
    this.#feeds.set(daemon.owner, feed);
    this.#send(feed, () => daemon.applyEntries(entries, [], revision));
  }

  /** Disconnects a daemon that has ended. */
  removeDaemon(owner: string): void {
    this.#feeds.delete(owner);
  }

  /** Gets whether a daemon receives changes late at present. */
  isHeld(owner: string): boolean {
    return this.#feeds.get(owner)?.isHeld ?? false;
  }

  /** Holds back the changes for one daemon for a time. */
  delayFeed(owner: string, forMs: number): void {
    const feed = this.#feeds.get(owner)!;
    feed.isHeld = true;
    this.#clock.scheduleAs("network", forMs, () => {
      feed.isHeld = false;
      feed.heldChanges.splice(0).forEach((change) => change());
    });
  }

  /** Writes the entry of a server. */
  putEntry(createEntry: (version: number) => BackendServer): void {
    const entry = createEntry(++this.#revision);
    this.#entries.set(entry.id, entry);
    this.#sendChange([entry], []);
  }

  /** Removes the entry of a server. */
  removeEntry(id: string): void {
    this.#revision++;
    this.#entries.delete(id);
    this.#sendChange([], [id]);
  }

  #sendChange(
    entries: readonly BackendServer[],
    removed: readonly string[],
  ): void {
    const revision = this.#revision;
    for (const feed of this.#feeds.values()) {
      this.#send(
        feed,
        () => feed.daemon.applyEntries(entries, removed, revision),
      );
    }
  }

  #send({ daemon, isHeld, heldChanges }: ListFeed, apply: () => void): void {
    const send = () => this.#clock.scheduleAs(daemon.owner, LIST_MS, apply);
    if (isHeld) {
      heldChanges.push(send);
    } else {
      send();
    }
  }
}
