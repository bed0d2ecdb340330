import type { Vm } from "../connection/vm_directory.ts";
import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type {
  ConfigPropagation,
  InForceReport,
} from "../version/config_propagation.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Time within which an accepted version has to be in force everywhere. */
export const IN_FORCE_LIMIT_MS = 6_000;
const IN_FORCE_POLL_MS = 200;
const MAX_CALLS_AT_ONCE = 32;
/** Rounds in which the daemons that did not answer are asked again, so that a lost message refuses no change. */
const MAJORITY_ROUNDS = 3;
const MAJORITY_ROUND_DELAY_MS = 200;

type AnnouncerContext = Pick<
  DaemonContext,
  | "settings"
  | "logger"
  | "lifeCycle"
  | "peerClients"
  | "vmTable"
  | "membership"
  | "agreement"
  | "configHolder"
  | "healthTable"
>;

/** Tells peers of new versions and of changes of group health. Each daemon passes each change on once. */
export class ConfigAnnouncer implements ConfigPropagation {
  readonly #context: AnnouncerContext;
  readonly #changedGroups = new Set<string>();

  constructor(context: AnnouncerContext) {
    this.#context = context;
  }

  /** Starts to announce changes of the holders. */
  start(): void {
    const { configHolder, healthTable } = this.#context;
    configHolder.onChange(({ version }) => void this.#announce(version));
    healthTable.onChange(({ groupId }) => this.#pushGroup(groupId));
  }

  async requestMajority(version: number): Promise<boolean> {
    const { membership, peerClients, agreement, lifeCycle } = this.#context;
    agreement.recordPrepared(version);
    const taken = new Set<string>();
    for (let round = 1;; round++) {
      const open = this.#listOthers().filter((vm) => !taken.has(vm.name));
      await this.#runForEach(open, async (vm) => {
        const client = peerClients.getClient(vm.address);
        await client.state.prepareConfig.mutate({ version });
        taken.add(vm.name);
      });
      if ((taken.size + 1) * 2 > membership.getListedNames().length) {
        return true;
      }
      if (
        round === MAJORITY_ROUNDS ||
        !await delay(MAJORITY_ROUND_DELAY_MS, lifeCycle.signal)
      ) {
        return false;
      }
    }
  }

  async collectInForce(version: number): Promise<InForceReport> {
    const { peerClients, settings, lifeCycle } = this.#context;
    const untilMs = performance.now() + IN_FORCE_LIMIT_MS;
    const inForce = [settings.name];
    let open = this.#listOthers();
    for (;;) {
      await this.#runForEach(open, async (vm) => {
        const client = peerClients.getClient(vm.address);
        const answer = await client.state.getConfigVersion.query();
        if (answer.version >= version) {
          inForce.push(vm.name);
        }
      });
      open = open.filter((vm) => !inForce.includes(vm.name));
      const done = open.length === 0 || performance.now() > untilMs;
      if (done || !await delay(IN_FORCE_POLL_MS, lifeCycle.signal)) {
        return { inForce, notConfirmed: open.map((vm) => vm.name) };
      }
    }
  }

  async #announce(version: number): Promise<void> {
    const { membership, peerClients, settings } = this.#context;
    const behind = membership.getPeers().filter((vm) =>
      (membership.getReport(vm.name)?.configVersion ?? 0) < version
    );
    await this.#runForEach(behind, async (vm) => {
      await peerClients.getClient(vm.address).state.announceConfig.mutate({
        from: settings.name,
        version,
      });
    });
  }

  /** Collects the changes of one turn of the event loop into one message. */
  #pushGroup(groupId: string): void {
    this.#changedGroups.add(groupId);
    if (this.#changedGroups.size === 1) {
      setTimeout(() => void this.#announceGroups(), 0);
    }
  }

  async #announceGroups(): Promise<void> {
    const { membership, peerClients, settings, lifeCycle } = this.#context;
    const groupIds = [...this.#changedGroups];
    this.#changedGroups.clear();
    if (lifeCycle.signal.aborted) {
      return;
    }
    await this.#runForEach(membership.getPeers(), async (vm) => {
      await peerClients.getClient(vm.address).state.announceGroupHealth.mutate({
        from: settings.name,
        digests: this.#getGroupDigests(groupIds),
      });
    });
  }

  #getGroupDigests(groupIds: readonly string[]) {
    const { healthTable } = this.#context;
    return groupIds.map((groupId) => ({
      groupId,
      digest: healthTable.getGroupDigest(groupId),
    }));
  }

  #listOthers(): Vm[] {
    const { vmTable, settings } = this.#context;
    return vmTable.getEntryVms().filter((vm) => vm.name !== settings.name);
  }

  async #runForEach(
    vms: readonly Vm[],
    send: (vm: Vm) => Promise<void>,
  ): Promise<void> {
    const queue = [...vms];
    const runNext = async () => {
      for (let vm = queue.shift(); vm !== undefined; vm = queue.shift()) {
        try {
          await send(vm);
        } catch (error) {
          this.#context.logger.write("debug", "peer-call-failed", {
            peer: vm.name,
            message: getErrorMessage(error),
          });
        }
      }
    };
    const count = Math.min(MAX_CALLS_AT_ONCE, queue.length);
    await Promise.all(Array.from({ length: count }, runNext));
  }
}
