import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { quarantineStateSchema } from "./quarantine_state.ts";

/** Number of random peers to which a daemon pushes a change at once. A change reaches n daemons in log8(n) hops. */
const PUSH_FANOUT = 8;
/** Number of random peers with which the state's digest is compared in each round, so that a daemon catches up on changes that it missed. */
const ANTI_ENTROPY_FANOUT = 2;
/** Maximum number of attempts to merge the list with the stored object in one round. */
const STORE_ATTEMPTS = 5;

/** Task that replicates the quarantine list to the other daemons by gossip and writes it to the store. */
export class QuarantineSyncTask {
  readonly #context: DaemonContext;
  #isStored = false;
  #isPushing = false;
  #hasUnsentChange = false;

  constructor(context: DaemonContext) {
    this.#context = context;
    context.quarantine.onChange(() => {
      this.#isStored = false;
      this.#hasUnsentChange = true;
      void this.#pushChanges();
    });
  }

  /** Writes changes to the store and compares the list with peers periodically, until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      if (!this.#isStored) {
        this.#isStored = true;
        this.#isStored = await this.#syncStore() && this.#isStored;
      }
      await this.#compareWithPeers();
    } while (await delay(settings.exchangeIntervalMs, lifeCycle.signal));
  }

  /** Pushes the state to random peers, again if it changed during the push. */
  async #pushChanges(): Promise<void> {
    if (this.#isPushing) {
      return;
    }
    this.#isPushing = true;
    while (this.#hasUnsentChange && !this.#context.lifeCycle.signal.aborted) {
      this.#hasUnsentChange = false;
      const state = this.#context.quarantine.getState();
      await Promise.all(
        this.#choosePeers(PUSH_FANOUT).map(async (address) => {
          try {
            await this.#context.peerClients.getClient(address).quarantine
              .announce.mutate(state);
          } catch (error) {
            this.#writeFailure(address, error);
          }
        }),
      );
    }
    this.#isPushing = false;
  }

  /** Sends the digest to random peers and merges the state of those whose digest differs. */
  async #compareWithPeers(): Promise<void> {
    const { quarantine, peerClients } = this.#context;
    for (const address of this.#choosePeers(ANTI_ENTROPY_FANOUT)) {
      try {
        const state = await peerClients.getClient(address).quarantine.compare
          .query({ digest: quarantine.getDigest() });
        if (state !== null) {
          quarantine.merge(state);
        }
      } catch (error) {
        this.#writeFailure(address, error);
      }
    }
  }

  #writeFailure(peer: string, error: unknown): void {
    this.#context.logger.write("debug", "quarantine-exchange-failed", {
      peer,
      message: getErrorMessage(error),
    });
  }

  #choosePeers(count: number): string[] {
    const { vmTable, settings } = this.#context;
    const addresses = vmTable.getEntryVms()
      .filter((vm) => vm.name !== settings.name)
      .map((vm) => ({ address: vm.address, sortKey: Math.random() }));
    addresses.sort((a, b) => a.sortKey - b.sortKey);
    return addresses.slice(0, count).map((entry) => entry.address);
  }

  /** Merges the stored entries into the list, and writes the list to the store if its entries differ. Returns whether the store is up to date. */
  async #syncStore(): Promise<boolean> {
    const { store, quarantine } = this.#context;
    for (let attempt = 1; attempt <= STORE_ATTEMPTS; attempt++) {
      const result = await store.getObject("quarantine", "main");
      if (result.isLeft()) {
        return false;
      }
      const object = result.unsafeCoerce();
      const parseResult = quarantineStateSchema.safeParse(object?.value);
      if (parseResult.success) {
        quarantine.merge(parseResult.data);
      }
      const entries = quarantine.getState().entries;
      if (hasSameEntries(parseResult.data?.entries ?? [], entries)) {
        return true;
      }
      const putResult = await store.putObject({
        kind: "quarantine",
        name: "main",
        value: { entries, losses: [] },
        expectedVersion: object?.version ?? 0,
      });
      if (putResult.outcome === "written") {
        return true;
      }
    }
    return false;
  }
}

interface ComparableEntry {
  readonly fingerprint: string;
  readonly revision: number;
  readonly state: string;
}

function hasSameEntries(
  first: readonly ComparableEntry[],
  second: readonly ComparableEntry[],
): boolean {
  const format = (entries: readonly ComparableEntry[]) =>
    entries.map((e) => `${e.fingerprint} ${e.revision} ${e.state}`).sort()
      .join("\n");
  return format(first) === format(second);
}
