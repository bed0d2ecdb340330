import type { Vm } from "../connection/vm_directory.ts";
import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type {
  ConfigPropagation,
  InForceReport,
} from "../version/config_propagation.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Time within which an accepted version has to be in force on all daemons, in milliseconds. */
export const IN_FORCE_LIMIT_MS = 6_000;
/** Delay between two rounds that request the version in force from the remaining daemons, in milliseconds. */
const IN_FORCE_POLL_MS = 200;
/** Maximum number of calls to other daemons that run at the same time. */
const MAX_CONCURRENT_CALLS = 32;
/** Maximum number of rounds in which the daemons that have not responded are called, so that a lost message doesn't cause a change to be refused. */
const MAJORITY_ROUNDS = 3;
/** Delay between two rounds, in milliseconds. */
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

/** Announces new configuration versions and changes of group health to the peers. Each daemon announces each change once, whether it originates here or was received from a peer. */
export class ConfigAnnouncer implements ConfigPropagation {
  readonly #context: AnnouncerContext;
  readonly #changedGroups = new Set<string>();

  constructor(context: AnnouncerContext) {
    this.#context = context;
  }

  /** Starts announcing changes of the configuration and of group health. */
  start(): void {
    const { configHolder, healthTable } = this.#context;
    configHolder.onChange(({ version }) => void this.#announce(version));
    healthTable.onChange(({ groupId }) => this.#enqueueGroup(groupId));
  }

  async requestMajority(version: number): Promise<boolean> {
    const { membership, peerClients, agreement, lifeCycle } = this.#context;
    agreement.recordPreparedVersion(version);
    const acceptedBy = new Set<string>();
    for (let round = 1;; round++) {
      const remainingVms = this.#listOtherDaemons().filter((vm) =>
        !acceptedBy.has(vm.name)
      );
      await this.#callDaemons(remainingVms, async (vm) => {
        const client = peerClients.getClient(vm.address);
        await client.state.prepareConfig.mutate({ version });
        acceptedBy.add(vm.name);
      });
      if ((acceptedBy.size + 1) * 2 > membership.getListedNames().length) {
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
    const deadlineMs = performance.now() + IN_FORCE_LIMIT_MS;
    const inForce = [settings.name];
    let remainingVms = this.#listOtherDaemons();
    for (;;) {
      await this.#callDaemons(remainingVms, async (vm) => {
        const client = peerClients.getClient(vm.address);
        const response = await client.state.getConfigVersion.query();
        if (response.version >= version) {
          inForce.push(vm.name);
        }
      });
      remainingVms = remainingVms.filter((vm) => !inForce.includes(vm.name));
      const isDone = remainingVms.length === 0 ||
        performance.now() > deadlineMs;
      if (isDone || !await delay(IN_FORCE_POLL_MS, lifeCycle.signal)) {
        return { inForce, notConfirmed: remainingVms.map((vm) => vm.name) };
      }
    }
  }

  async #announce(version: number): Promise<void> {
    const { membership, peerClients, settings } = this.#context;
    const outdatedPeers = membership.getPeers().filter((vm) =>
      (membership.getReport(vm.name)?.configVersion ?? 0) < version
    );
    await this.#callDaemons(outdatedPeers, async (vm) => {
      await peerClients.getClient(vm.address).state.announceConfig.mutate({
        from: settings.name,
        version,
      });
    });
  }

  /** Adds a changed group to the next message, which contains all changes of one iteration of the event loop. */
  #enqueueGroup(groupId: string): void {
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
    await this.#callDaemons(membership.getPeers(), async (vm) => {
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

  #listOtherDaemons(): Vm[] {
    const { vmTable, settings } = this.#context;
    return vmTable.getEntryVms().filter((vm) => vm.name !== settings.name);
  }

  async #callDaemons(
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
    const count = Math.min(MAX_CONCURRENT_CALLS, queue.length);
    await Promise.all(Array.from({ length: count }, runNext));
  }
}
