import { CLAIM_KIND, claimSchema } from "../request/claim.ts";
import { delay } from "../shared/delay.ts";
import { getRendezvousOrder } from "../shared/rendezvous_hash.ts";
import type { DaemonContext } from "./daemon_context.ts";

const DELETE_INTERVAL_MS = 50;
/** Keeps a claim past its retention, so that no daemon with a slow clock still relies on it. */
const SAFETY_MARGIN_MS = 60_000;

/** Task that deletes claims past their retention. One daemon does it for all, so that the claims are not listed by every one. */
export class ClaimSweepTask {
  readonly #context: DaemonContext;
  readonly #safetyMarginMs: number;

  constructor(
    context: DaemonContext,
    options: { safetyMarginMs?: number } = {},
  ) {
    this.#context = context;
    this.#safetyMarginMs = options.safetyMarginMs ?? SAFETY_MARGIN_MS;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    while (await delay(settings.claimSweepIntervalMs, lifeCycle.signal)) {
      if (this.#isSweeper()) {
        await this.removeExpiredClaims();
      }
    }
  }

  /** Deletes all claims past their retention, at most 20 a second. */
  async removeExpiredClaims(): Promise<void> {
    const { store, lifeCycle, logger } = this.#context;
    const listed = await store.listObjects(CLAIM_KIND);
    const expired = listed.orDefault([]).filter((object) => {
      const claim = claimSchema.safeParse(object.value);
      return claim.success &&
        claim.data.retainUntilMs + this.#safetyMarginMs < Date.now();
    });
    let deleted = 0;
    for (const { kind, name, version } of expired) {
      const { outcome } = await store.deleteObject({
        kind,
        name,
        expectedVersion: version,
      });
      deleted += outcome === "written" ? 1 : 0;
      if (!await delay(DELETE_INTERVAL_MS, lifeCycle.signal)) {
        break;
      }
    }
    if (deleted > 0) {
      logger.write("info", "claims-deleted", { count: deleted });
    }
  }

  #isSweeper(): boolean {
    const names = this.#context.vmTable.getEntryVms()
      .filter((vm) => vm.state === "live").map((vm) => vm.name);
    return getRendezvousOrder(CLAIM_KIND, names).at(0) ===
      this.#context.settings.name;
  }
}
