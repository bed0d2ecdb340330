import type {
  GroupOrder,
  GroupOrderOutcome,
} from "../../src/connection/group_order_client.ts";
import type {
  BackendReport,
  BackendServer,
  GroupMembership,
  MembershipState,
} from "../../src/shared/backend_server.ts";
import { MODEL_TIMES_MS, SERVICE_NAME } from "./explored_config.ts";

/** Time for which a closing group's last requests run, in milliseconds. */
const CLOSE_MS = 600;
/** Time for which a group without one of its members stands still until its head is broken, in milliseconds. */
const STALL_MS = 4_000;

/** Group as a server holds it. */
export interface ServerGroup {
  readonly name: string;
  readonly generation: number;
  readonly model: string;
  /** Ids of the members; the first one is the head. */
  readonly members: readonly string[];
  state: MembershipState;
  /** Whether the order to open the group is in progress. */
  isOpening: boolean;
}

/** Listener of a server's changes. */
export interface ServerObserver {
  /** Called before a server takes a join of another group or leaves its group. */
  onGroupEnd(server: SimulatedServer, cause: "join" | "leave"): void;
  /** Called when the state that a server reports has changed. */
  onChange(server: SimulatedServer): void;
  /** Called when a head begins to serve. */
  onOpen(server: SimulatedServer): void;
}

/** Model server that follows the platform's page on orders, groups, epochs and fencing tokens. */
export class SimulatedServer {
  readonly address: string;
  readonly #observer: ServerObserver;
  id: string;
  #startedAtMs = Date.now();
  #life = 0;
  isRunning = true;
  /** Whether the server sends and handles nothing at present. */
  isSilent = false;
  group: ServerGroup | undefined;
  /** Highest term of the orders of this life. */
  highestTerm = 0;
  #highestGeneration = 0;
  #lastModel: string | undefined;
  readonly #stagedModels = new Set<string>();
  #reportNumber = 0;
  #stallTimer: NodeJS.Timeout | undefined;

  constructor(options: {
    id: string;
    stagedModels: readonly string[];
    observer: ServerObserver;
  }) {
    this.id = options.id;
    this.address = `${options.id}:1`;
    this.#observer = options.observer;
    options.stagedModels.forEach((model) => this.#stagedModels.add(model));
  }

  /** Gets the rank of the server in its group. */
  get rank(): number {
    return this.group?.members.indexOf(this.id) ?? -1;
  }

  /** Ends the process. */
  crash(): void {
    this.isRunning = false;
    this.isSilent = false;
    this.#life++;
  }

  /** Starts a new life, in which only the models on the host are kept. */
  restart(id: string): void {
    this.id = id;
    this.isRunning = true;
    this.#startedAtMs = Date.now();
    this.group = undefined;
    this.highestTerm = 0;
    this.#highestGeneration = 0;
    this.#lastModel = undefined;
    this.#reportNumber = 0;
    this.#publishChange();
  }

  /** Applies an order. */
  applyOrder(order: GroupOrder, term: number): GroupOrderOutcome {
    if (term < this.highestTerm) {
      return "fenced";
    }
    this.highestTerm = term;
    if (order.action === "join") {
      return this.#join(order);
    }
    const { group } = this;
    if (order.action === "stage") {
      return "unfit";
    }
    if (
      group?.name !== order.groupName || group.generation !== order.generation
    ) {
      return "unfit";
    }
    switch (order.action) {
      case "open":
        return this.#open(group);
      case "close":
        return this.#close(group);
      default:
        this.#observer.onGroupEnd(this, "leave");
        this.group = undefined;
        this.#publishChange();
        return "done";
    }
  }

  #join(
    order: Extract<GroupOrder, { action: "join" }>,
  ): GroupOrderOutcome {
    const { groupName, generation, model, members } = order;
    if (generation < this.#highestGeneration) {
      return "fenced";
    }
    const isSameGroup = this.group?.name === groupName &&
      this.group.generation === generation;
    if (isSameGroup) {
      return this.group!.members.join() === members.join() ? "done" : "fenced";
    }
    this.#observer.onGroupEnd(this, "join");
    this.#highestGeneration = generation;
    const group: ServerGroup = {
      name: groupName,
      generation,
      model,
      members,
      state: "joining",
      isOpening: false,
    };
    this.group = group;
    this.#publishChange();
    this.#scheduleChange(group, this.#getJoinMs(model), () => {
      this.#lastModel = model;
      this.#stagedModels.add(model);
      group.state = "ready";
    });
    return "begun";
  }

  #getJoinMs(model: string): number {
    if (this.#lastModel === model) {
      return MODEL_TIMES_MS.rejoin;
    }
    return this.#stagedModels.has(model)
      ? MODEL_TIMES_MS.warm
      : MODEL_TIMES_MS.load;
  }

  #open(group: ServerGroup): GroupOrderOutcome {
    if (group.state === "open") {
      return "done";
    }
    if (group.state !== "ready" || this.rank !== 0 || group.isOpening) {
      return "unfit";
    }
    group.isOpening = true;
    this.#scheduleChange(group, MODEL_TIMES_MS.open, () => {
      group.isOpening = false;
      group.state = "open";
      this.#observer.onOpen(this);
    });
    return "begun";
  }

  #close(group: ServerGroup): GroupOrderOutcome {
    if (group.state !== "open") {
      return group.isOpening ? "unfit" : "done";
    }
    group.state = "closing";
    this.#publishChange();
    this.#scheduleChange(group, CLOSE_MS, () => {
      group.state = group.state === "closing" ? "ready" : group.state;
    });
    return "begun";
  }

  /** Starts or ends the time after which a head whose group stands still is broken. */
  updateStall(isStanding: boolean): void {
    if (!isStanding) {
      clearTimeout(this.#stallTimer);
      this.#stallTimer = undefined;
      return;
    }
    const { group } = this;
    this.#stallTimer ??= setTimeout(() => {
      this.#stallTimer = undefined;
      if (this.group === group && group !== undefined && this.isRunning) {
        group.state = "broken";
        this.#publishChange();
      }
    }, STALL_MS);
  }

  #scheduleChange(group: ServerGroup, delayMs: number, change: () => void) {
    const life = this.#life;
    setTimeout(() => {
      if (this.group === group && this.#life === life) {
        change();
        this.#publishChange();
      }
    }, delayMs);
  }

  #publishChange(): void {
    this.#reportNumber++;
    this.#observer.onChange(this);
  }

  #getMembership(): GroupMembership | undefined {
    const { group, rank } = this;
    return group && {
      groupName: group.name,
      generation: group.generation,
      rank,
      state: group.state,
    };
  }

  /** Gets the response to a status request. */
  getReport(): BackendReport {
    return {
      startedAtMs: this.#startedAtMs,
      membership: this.#getMembership(),
      stagedModels: [...this.#stagedModels],
      loadedModels: this.#listLoadedModels(),
      isBusy: this.group?.state === "joining" || this.group?.isOpening === true,
      runningRequests: 0,
      waitingRequests: 0,
      heldTokens: 0,
      slowness: 1,
    };
  }

  #listLoadedModels(): string[] {
    return this.#lastModel === undefined ? [] : [this.#lastModel];
  }

  /** Gets the entry that the server registers. */
  getEntry(entryVersion: number): BackendServer {
    const { startedAtMs, stagedModels, loadedModels, membership } = this
      .getReport();
    return {
      id: this.id,
      startedAtMs,
      entryVersion,
      reportNumber: this.#reportNumber,
      service: SERVICE_NAME,
      address: this.address,
      zone: "z1",
      slots: 4,
      isDraining: false,
      coldUntilMs: 0,
      domain: "d1",
      stagedModels: stagedModels!,
      loadedModels,
      membership,
    };
  }
}
