import { CLAIM_KIND, claimSchema } from "../request/claim.ts";
import { delay } from "../shared/delay.ts";
import { getRendezvousOrder } from "../shared/rendezvous_hash.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Delay after each deletion, in milliseconds. */
const DELETE_INTERVAL_MS = 50;
/** Time for which a claim is kept after its retention, in milliseconds, because a daemon whose clock is slow may still rely on it. */
const SAFETY_MARGIN_MS = 60_000;

/** Deletes claims past their retention. Only one daemon runs the sweep, so that the claims are not listed by every daemon. */
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

  /** Deletes all claims past their retention and the safety margin, at most 20 per second. */
  async removeExpiredClaims(): Promise<void> {
    const { store, lifeCycle, logger } = this.#context;
    const listResult = await store.listObjects(CLAIM_KIND);
    const expiredClaims = listResult.orDefault([]).filter((object) => {
      const claim = claimSchema.safeParse(object.value);
      return claim.success &&
        claim.data.retainUntilMs + this.#safetyMarginMs < Date.now();
    });
    let deletedCount = 0;
    for (const { kind, name, version } of expiredClaims) {
      const { outcome } = await store.deleteObject({
        kind,
        name,
        expectedVersion: version,
      });
      deletedCount += outcome === "written" ? 1 : 0;
      if (!await delay(DELETE_INTERVAL_MS, lifeCycle.signal)) {
        break;
      }
    }
    if (deletedCount > 0) {
      logger.write("info", "claims-deleted", { count: deletedCount });
    }
  }

  #isSweeper(): boolean {
    const names = this.#context.vmTable.getEntryVms()
      .filter((vm) => vm.state === "live").map((vm) => vm.name);
    return getRendezvousOrder(CLAIM_KIND, names).at(0) ===
      this.#context.settings.name;
  }
}
