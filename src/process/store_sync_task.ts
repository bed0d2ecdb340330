import { delay } from "../shared/delay.ts";
import { configSchema } from "../version/config_schema.ts";
import type { DomainPlacement } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Task that reads configuration, placement and the VM list from the platform. */
export class StoreSyncTask {
  readonly #context: DaemonContext;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      await this.syncOnce();
    } while (await delay(settings.exchangeIntervalMs, lifeCycle.signal));
  }

  /** Reads everything once. */
  async syncOnce(): Promise<void> {
    await Promise.all([
      this.#syncConfig(),
      this.#syncPlacement(),
      this.#syncVms(),
    ]);
  }

  async #syncConfig(): Promise<void> {
    const { store, configHolder, freshness, logger } = this.#context;
    const startedAtMs = performance.now();
    const result = await store.getObject("config", "main");
    result.ifRight((object) => {
      const parsed = configSchema.safeParse(object?.value);
      if (object !== undefined && parsed.success) {
        if (
          configHolder.offer({ version: object.version, document: parsed.data })
        ) {
          logger.write("info", "config-applied", { version: object.version });
        }
      }
      freshness.recordConfirmation(performance.now() - startedAtMs);
    });
  }

  async #syncPlacement(): Promise<void> {
    const { store, placementHolder } = this.#context;
    const result = await store.listObjects("placement");
    result.ifRight((objects) => {
      for (const object of objects) {
        placementHolder.offer({
          objectVersion: object.version,
          placement: object.value as DomainPlacement,
        });
      }
    });
  }

  async #syncVms(): Promise<void> {
    const { vmDirectory, vmTable } = this.#context;
    const result = await vmDirectory.getVms();
    result.ifRight((vms) => vmTable.replace(vms));
  }
}
