import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  RoutedService,
  ServedModel,
} from "../../version/routing_config.ts";
import type { ReplacementTrace } from "../registration/replacement_trace.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import { createGroupName, getFirstGeneration } from "./group_name.ts";
import { getMembershipKey } from "./group_table.ts";
import {
  createSpareGroupName,
  type MemberOrderExecutor,
} from "./member_order_executor.ts";
import type { OrderSchedule } from "./order_schedule.ts";
import type { GroupFormation, ServerPreparation } from "./replica_planner.ts";

/** Margin by which the timeout of an order exceeds the expected duration of the order, in milliseconds. */
const ORDER_TIMEOUT_MARGIN_MS = 2_000;
/** Time limit for a closing group to finish its requests, in milliseconds. */
const CLOSE_TIMEOUT_MS = 10_000;
/** Expected time for a server to join a group of the model that it has loaded, in milliseconds. */
const EXPECTED_JOIN_MS = 200;
/** Margin by which the first status request follows the expected end of an order, in milliseconds. */
const FIRST_POLL_MARGIN_MS = 20;

/** Dependencies of `GroupTasks`. */
export interface GroupTasksOptions {
  readonly directory: BackendDirectory;
  readonly orders: MemberOrderExecutor;
  readonly schedule: OrderSchedule;
  readonly trace: ReplacementTrace;
  readonly logger: Logger;
  /** Called when the outcome of a close is known. */
  onCloseSent(): void;
}

/** Sequences of orders that form, open and close groups and load models. */
export class GroupTasks {
  readonly #options: GroupTasksOptions;
  /** Generation of the last group. */
  #generation = 0;

  constructor(options: GroupTasksOptions) {
    this.#options = options;
  }

  /** Begins the generations of a lease term. */
  startTerm(term: number): void {
    this.#generation = getFirstGeneration(term);
  }

  /**
   * Closes a group once its requests have ended.
   *
   * @param head - Head of the group.
   * @param members - Members that get no other order meanwhile.
   */
  async runClosing(
    head: BackendServer,
    members: readonly BackendServer[],
  ): Promise<void> {
    const ids = members.map(({ id }) => id);
    await this.#options.schedule.run(
      ids,
      "order",
      () =>
        this.#options.orders.closeGroup(head, head.membership!, {
          timeoutMs: CLOSE_TIMEOUT_MS,
          onCloseSent: () => this.#options.onCloseSent(),
        }),
    );
  }

  /** Opens a group whose members are all ready. */
  async runOpening(
    service: RoutedService,
    head: BackendServer,
    members: readonly BackendServer[],
  ): Promise<void> {
    const ids = members.map(({ id }) => id);
    await this.#options.schedule.run(
      ids,
      "order",
      () =>
        this.#options.orders.openGroup(
          head,
          head.membership!,
          getOpenWaitOptions(service),
        ),
    );
  }

  /** Orders a server to load a model by joining a single-member group that never opens, so that it can join its next group without loading. */
  async runPreparation(
    service: RoutedService,
    preparation: ServerPreparation,
  ): Promise<void> {
    const { directory, orders } = this.#options;
    const server = directory.findServer(preparation.serverId);
    const model = findModel(service, preparation.model);
    if (server === undefined || model === undefined) {
      return;
    }
    const { needsLoad } = preparation;
    const generation = ++this.#generation;
    await this.#options.schedule.run(
      [server.id],
      needsLoad ? "load" : "order",
      () =>
        orders.joinGroup(server, {
          groupName: createSpareGroupName(generation),
          generation,
          model: model.name,
          members: [server.id],
        }, {
          timeoutMs: getMaxPreparationMs(service, model, needsLoad) +
            ORDER_TIMEOUT_MARGIN_MS,
          firstPollMs: needsLoad ? undefined : model.warmMs,
        }),
    );
  }

  /** Lets servers join a new group, and opens it. */
  async runFormation(
    service: RoutedService,
    formation: GroupFormation,
  ): Promise<void> {
    const { directory, logger } = this.#options;
    const model = findModel(service, formation.model)!;
    const members = formation.members.flatMap((id) =>
      directory.findServer(id) ?? []
    );
    const generation = ++this.#generation;
    const groupName = createGroupName({ generation, size: model.groupSize });
    const group = { groupName, generation };
    const replacedKeys = new Set(
      members.flatMap((member) => getMembershipKey(member) ?? []),
    );
    const startedAtMs = performance.now();
    let leftAtMs: number | undefined;
    let joinedAtMs: number | undefined;
    const onLeft = () => {
      leftAtMs = performance.now();
    };
    const isOpen = await this.#options.schedule.run(
      formation.members,
      "order",
      async () => {
        if (
          members.length !== model.groupSize ||
          !await this.#joinMembers(model, members, { ...group, onLeft })
        ) {
          return false;
        }
        joinedAtMs = performance.now();
        return await this.#options.orders.openGroup(
          members[0],
          group,
          getOpenWaitOptions(service),
        );
      },
    );
    if (!isOpen) {
      await this.#options.schedule.pauseUnresponsiveMembers(members);
    }
    this.#options.trace.recordFormation(
      `${groupName}/${generation}`,
      replacedKeys,
      {
        orderedAtMs: startedAtMs,
        leftAtMs,
        joinedAtMs,
        openAtMs: isOpen ? performance.now() : undefined,
      },
    );
    logger.write("info", "group-formed", {
      group: `${group.groupName}/${generation}`,
      model: model.name,
      domain: formation.domain,
      members: formation.members.join(","),
      outcome: isOpen ? "open" : "failed",
      tookMs: Math.round(performance.now() - startedAtMs),
    });
  }

  async #joinMembers(
    model: ServedModel,
    members: readonly BackendServer[],
    { onLeft, ...group }: {
      groupName: string;
      generation: number;
      onLeft(): void;
    },
  ): Promise<boolean> {
    const ids = members.map(({ id }) => id);
    const joinResults = await Promise.all(
      members.map((member) =>
        this.#options.orders.joinGroup(member, {
          ...group,
          model: model.name,
          members: ids,
        }, {
          timeoutMs: model.warmMs + ORDER_TIMEOUT_MARGIN_MS,
          firstPollMs: EXPECTED_JOIN_MS + FIRST_POLL_MARGIN_MS,
          onLeft,
        })
      ),
    );
    return joinResults.every(Boolean);
  }
}

function findModel(
  service: RoutedService,
  name: string,
): ServedModel | undefined {
  return service.engine?.models.find((model) => model.name === name);
}

function getOpenWaitOptions(service: RoutedService) {
  const { openMs } = service.engine!;
  return {
    timeoutMs: openMs + ORDER_TIMEOUT_MARGIN_MS,
    firstPollMs: openMs + FIRST_POLL_MARGIN_MS,
  };
}

/** Gets the longest expected time of a preparation. Concurrent loads share the bandwidth of the weight store. */
function getMaxPreparationMs(
  service: RoutedService,
  model: ServedModel,
  needsLoad: boolean,
): number {
  return needsLoad
    ? model.loadMs * Math.max(1, service.engine!.concurrentLoads)
    : model.warmMs;
}
