import { delay } from "../shared/delay.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { PromptPartState } from "./prompt_part_state.ts";
import {
  type QuarantineState,
  quarantineStateSchema,
} from "./quarantine_state.ts";
import { StateGossip } from "./state_gossip.ts";

/** Maximum number of attempts to merge the list with the stored object in one round. */
const STORE_ATTEMPTS = 5;

/** Task that replicates the quarantine list and the suspected prompt parts to the other daemons by gossip, and writes the list to the store. */
export class QuarantineSyncTask {
  readonly #context: DaemonContext;
  readonly #listGossip: StateGossip<QuarantineState>;
  readonly #partGossip: StateGossip<PromptPartState>;
  #isStored = false;

  constructor(context: DaemonContext) {
    this.#context = context;
    const { quarantine, promptParts } = context;
    this.#listGossip = new StateGossip(context, {
      createMessage: () => quarantine.getState(),
      send: (client, state) => client.quarantine.announce.mutate(state),
    });
    this.#partGossip = new StateGossip(context, {
      createMessage: () => promptParts.takeChanges(),
      // An eviction changes the state without anything to announce.
      send: async (client, state) =>
        state.crashes.length + state.successes.length > 0 &&
        await client.quarantine.announceParts.mutate(state),
    });
    quarantine.onChange(() => {
      this.#isStored = false;
      void this.#listGossip.pushChanges();
    });
    promptParts.onChange(() => void this.#partGossip.pushChanges());
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

  /** Sends the digests to random peers and merges the states of those whose digests differ. */
  async #compareWithPeers(): Promise<void> {
    const { quarantine, promptParts } = this.#context;
    await this.#listGossip.callPeers(async (client) => {
      const state = await client.quarantine.compare.query({
        digest: quarantine.getDigest(),
        partDigest: promptParts.getDigest(),
      });
      if (state !== null) {
        quarantine.merge(state);
      }
      if (state?.promptParts !== undefined) {
        promptParts.merge(state.promptParts);
      }
    });
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
