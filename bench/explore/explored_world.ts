import type {
  GroupOrder,
  GroupOrderOutcome,
} from "../../src/connection/group_order_client.ts";
import type { ChoiceSource } from "./choice_source.ts";
import type { DaemonParts } from "./daemon_parts.ts";
import { EventLog } from "./event_log.ts";
import { createService, MODELS } from "./explored_config.ts";
import {
  describeEvent,
  type ExploredEvent,
  type WorldSize,
} from "./explored_event.ts";
import { GroupChecker } from "./group_checker.ts";
import { ServerList } from "./server_list.ts";
import { type DaemonNotice, SimulatedDaemon } from "./simulated_daemon.ts";
import {
  ORDER_FATES,
  type OrderFate,
  type OrderNetwork,
  SimulatedOrderClient,
} from "./simulated_order_client.ts";
import { SimulatedServer } from "./simulated_server.ts";
import { SimulatedStore, SimulatedStoreLink } from "./simulated_store.ts";
import { describeState, getServersKey } from "./world_state.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time until a daemon receives a change of the configuration, in milliseconds. */
const CONFIG_MS = 20;
/** Time after which the entry of an ended server is removed, in milliseconds. */
const ENTRY_EXPIRY_MS = 3_000;
/** Time until a daemon receives what another one announces, in milliseconds. */
const NOTICE_MS = 5;
/** Time until an ended daemon runs again, in milliseconds. */
const RESTART_MS = 1_000;
/** Time for which a daemon releases its lease before it ends, in milliseconds. */
const STOP_MS = 200;
/** Time after an outage of the store within which a daemon may act under an earlier term, in milliseconds. */
const CUT_GRACE_MS = 31_000;

/** Daemons, servers and store of one path, joined by messages that the path decides on. */
export class ExploredWorld implements OrderNetwork {
  readonly clock: VirtualClock;
  readonly log = new EventLog();
  readonly checker: GroupChecker;
  readonly #choices: ChoiceSource;
  readonly #parts: DaemonParts;
  readonly #store = new SimulatedStore();
  readonly #servers: SimulatedServer[] = [];
  readonly #daemons: SimulatedDaemon[] = [];
  readonly #list: ServerList;
  readonly #liveOwners = new Set<string>();
  /** Monotonic time until which a daemon may act under an earlier term, in milliseconds, by daemon name. */
  readonly #cutUntilMs = new Map<string, number>();
  #model = MODELS[0];
  #isLinkCut = false;
  #lifeCount = 0;
  /** Whether orders may meet faults. */
  #hasFaults = true;

  constructor(options: {
    clock: VirtualClock;
    choices: ChoiceSource;
    parts: DaemonParts;
    size: WorldSize;
  }) {
    this.clock = options.clock;
    this.#choices = options.choices;
    this.#parts = options.parts;
    this.#list = new ServerList({ clock: this.clock });
    this.checker = new GroupChecker({ listServers: () => this.#servers });
    for (let i = 0; i < options.size.servers; i++) {
      const server = new SimulatedServer({
        id: `s${i}`,
        stagedModels: [MODELS[0].name],
        observer: {
          onGroupEnd: (other, cause) =>
            this.checker.checkGroupEnd(other, cause),
          onOpen: (other) => this.checker.checkOpen(other),
          onChange: (other) => this.#applyServerChange(other),
        },
      });
      this.#servers.push(server);
      this.#list.putEntry((version) => server.getEntry(version));
    }
    for (let i = 0; i < options.size.daemons; i++) {
      this.#daemons.push(this.#startDaemon(`d${i}`));
    }
  }

  findServer(address: string): SimulatedServer | undefined {
    return this.#servers.find((server) => server.address === address);
  }

  onOrderSent(daemon: string, order: GroupOrder, term: number): OrderFate {
    const wasCut = (this.#cutUntilMs.get(daemon) ?? 0) >= performance.now();
    this.checker.checkSentOrder(daemon, term, { wasCut });
    const fate = this.#hasFaults
      ? ORDER_FATES[this.#choices.choose("order", ORDER_FATES.length)]
      : ORDER_FATES[0];
    if (fate.kind !== "answered") {
      const lateText = fate.kind === "late"
        ? `carried out ${fate.lateMs} ms late without an answer`
        : fate.kind;
      this.log.record(
        daemon,
        `${describeOrder(order)}, term ${term}: ${lateText}`,
      );
    }
    return fate;
  }

  onOrderApplied({ daemon, server, order, term, outcome, isLate }: {
    daemon: string;
    server: SimulatedServer;
    order: GroupOrder;
    term: number;
    outcome: GroupOrderOutcome;
    isLate: boolean;
  }): void {
    this.log.record(
      server.id,
      `${isLate ? "late " : ""}${
        describeOrder(order)
      } of ${daemon}, term ${term}: ${outcome}`,
    );
    if (outcome !== "fenced") {
      this.checker.recordReceivedTerm(term);
    }
  }

  /** Applies an event. Returns whether it had an effect. */
  applyEvent(event: ExploredEvent): boolean {
    const hasEffect = this.#tryEvent(event);
    if (hasEffect) {
      this.log.record("event", describeEvent(event));
    }
    return hasEffect;
  }

  #tryEvent(event: ExploredEvent): boolean {
    switch (event.kind) {
      case "none":
        return false;
      case "crash-server":
      case "silence-server":
      case "return-server":
      case "return-same-id":
        return this.#tryServerEvent(this.#servers[event.index], event);
      case "change-model":
        return this.#changeModel(event.index);
      case "cut-link":
        return this.#cutLink(event.forMs);
      default:
        return this.#tryDaemonEvent(this.#daemons[event.index], event);
    }
  }

  #tryServerEvent(server: SimulatedServer, event: ExploredEvent): boolean {
    const isReturn = event.kind === "return-server" ||
      event.kind === "return-same-id";
    if (server.isRunning === isReturn || server.isSilent) {
      return false;
    }
    if (event.kind === "crash-server") {
      const { id } = server;
      server.crash();
      this.#updateStalls();
      this.#scheduleRemoval(server, id);
    } else if (event.kind === "silence-server") {
      server.isSilent = true;
      this.#updateStalls();
      this.clock.scheduleAs("network", event.forMs, () => {
        server.isSilent = false;
        if (server.isRunning) {
          this.#applyServerChange(server);
        }
      });
    } else {
      const index = this.#servers.indexOf(server);
      server.restart(
        event.kind === "return-same-id"
          ? server.id
          : `s${index}-${++this.#lifeCount}`,
      );
    }
    return true;
  }

  #scheduleRemoval(server: SimulatedServer, id: string): void {
    this.clock.scheduleAs("network", ENTRY_EXPIRY_MS, () => {
      if (!server.isRunning || server.id !== id) {
        this.#list.removeEntry(id);
      }
    });
  }

  #tryDaemonEvent(daemon: SimulatedDaemon, event: ExploredEvent): boolean {
    const { owner, storeLink, name } = daemon;
    if (!this.#liveOwners.has(owner) || this.clock.isPaused(owner)) {
      return false;
    }
    switch (event.kind) {
      case "kill-daemon":
        this.#crashDaemon(daemon);
        return true;
      case "stop-daemon":
        this.clock.runAs(owner, () => void daemon.lease.release());
        this.clock.scheduleAs(
          "network",
          STOP_MS,
          () => this.#crashDaemon(daemon),
        );
        return true;
      case "lose-write":
        storeLink.answersToLose++;
        return storeLink.answersToLose === 1;
      case "pause-daemon":
        this.clock.pause(owner);
        this.clock.scheduleAs(
          "network",
          event.forMs,
          () => this.clock.resume(owner),
        );
        return true;
      case "cut-store":
        if (storeLink.isCut) {
          return false;
        }
        storeLink.isCut = true;
        this.#cutUntilMs.set(
          name,
          performance.now() + event.forMs + CUT_GRACE_MS,
        );
        this.clock.scheduleAs("network", event.forMs, () => {
          storeLink.isCut = false;
        });
        return true;
      case "delay-list":
        if (this.#list.isHeld(owner)) {
          return false;
        }
        this.#list.delayFeed(owner, event.forMs);
        return true;
      default:
        return false;
    }
  }

  #changeModel(index: number): boolean {
    if (this.#model === MODELS[index]) {
      return false;
    }
    this.#model = MODELS[index];
    const service = createService(this.#model);
    for (const daemon of this.#daemons) {
      this.clock.scheduleAs(
        daemon.owner,
        CONFIG_MS,
        () => daemon.applyService(service),
      );
    }
    return true;
  }

  #cutLink(forMs: number): boolean {
    if (this.#isLinkCut) {
      return false;
    }
    this.#isLinkCut = true;
    this.clock.scheduleAs("network", forMs, () => {
      this.#isLinkCut = false;
    });
    return true;
  }

  #startDaemon(name: string): SimulatedDaemon {
    const owner = `${name}#${++this.#lifeCount}`;
    const daemon = new SimulatedDaemon({
      name,
      owner,
      parts: this.#parts,
      orders: new SimulatedOrderClient({ network: this, daemon: name, owner }),
      storeLink: new SimulatedStoreLink({
        store: this.#store,
        clock: this.clock,
        owner,
        isConditional: this.#parts.isStoreConditional,
      }),
      logger: this.log.createLogger(name),
      service: createService(this.#model),
      isStanding: (address) =>
        this.checker.isStanding(this.findServer(address)!),
      onTaskFailure: (message) => this.checker.record("task-failed", message),
      sendNotice: (notice) => this.#sendNotice(daemon, notice),
    });
    this.#liveOwners.add(owner);
    this.#list.addDaemon(daemon);
    this.clock.runAs(owner, () => daemon.start());
    return daemon;
  }

  #crashDaemon(daemon: SimulatedDaemon): void {
    if (!this.#liveOwners.delete(daemon.owner)) {
      return;
    }
    this.#list.removeDaemon(daemon.owner);
    void daemon.dispose();
    this.clock.removeOwner(daemon.owner);
    this.clock.scheduleAs("network", RESTART_MS, () => {
      const index = this.#daemons.indexOf(daemon);
      this.#daemons[index] = this.#startDaemon(daemon.name);
    });
  }

  #sendNotice(source: SimulatedDaemon, notice: DaemonNotice): void {
    if (this.#isLinkCut) {
      return;
    }
    for (const daemon of this.#daemons) {
      if (daemon !== source && this.#liveOwners.has(daemon.owner)) {
        this.clock.scheduleAs(
          daemon.owner,
          NOTICE_MS,
          () => daemon.applyNotice(notice),
        );
      }
    }
  }

  #applyServerChange(server: SimulatedServer): void {
    this.checker.recordChange(server);
    this.#updateStalls();
    if (!server.isSilent) {
      this.#list.putEntry((version) => server.getEntry(version));
    }
  }

  #updateStalls(): void {
    this.#servers.forEach((server) =>
      server.updateStall(server.isRunning && this.checker.isStanding(server))
    );
  }

  /** Ends all faults: orders are answered from now on, and ended servers start again. Pauses, silences and cuts end by themselves. */
  repairAll(): void {
    this.#hasFaults = false;
    this.#servers.forEach((_server, index) =>
      this.applyEvent({ kind: "return-server", index })
    );
  }

  /** Gets whether all groups that can be complete are open, and all daemons send requests to them. */
  isRecovered(): boolean {
    const { name, groupSize } = this.#model;
    const running = this.#servers.filter(({ isRunning }) => isRunning);
    const expectedCount = Math.floor(running.length / groupSize);
    return this.checker.countOpenGroups(groupSize) === expectedCount &&
      this.#daemons.every(({ groups }) =>
        groups.listServingGroups("models", name).length === expectedCount
      );
  }

  /** Describes the groups and daemons for the message of a path that did not recover. */
  describeState(): string {
    return describeState(this.#servers, this.#daemons);
  }

  /** Gets a text that is equal for equal visible states. Terms are left out, since they rise with each planner. */
  getStateKey(): string {
    const daemons = this.#daemons.map(({ owner, lease, storeLink, groups }) =>
      [
        this.#list.isHeld(owner),
        this.clock.isPaused(owner),
        lease.getTerm() !== undefined,
        storeLink.isCut,
        groups.listAll().length,
        groups.listLostKeys().length,
      ].join()
    );
    const common = [MODELS.indexOf(this.#model), this.#isLinkCut];
    return [...common, getServersKey(this.#servers), ...daemons].join(" ");
  }

  /** Ends all daemons. */
  async dispose(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.dispose()));
  }
}

function describeOrder(order: GroupOrder): string {
  switch (order.action) {
    case "stage":
      return `stage ${order.model}`;
    case "join":
      return `join ${order.groupName} (${order.members.join()})`;
    default:
      return `${order.action} ${order.groupName}`;
  }
}
