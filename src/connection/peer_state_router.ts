import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { GroupHealth } from "../process/group_health.ts";
import { PeerSync } from "../process/peer_sync.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { VersionedConfig } from "../version/config_schema.ts";
import type { VersionedPlacement } from "../version/placement.ts";
import type { PeerClient } from "./peer_clients.ts";
import {
  createStateExchangeResponse,
  type StateExchangeRequest,
  stateExchangeRequestSchema,
  type StateExchangeResponse,
} from "./state_exchange.ts";
import { peerTrpc } from "./peer_trpc.ts";
import type { Vm } from "./vm_directory.ts";

const versionSchema = z.object({ version: z.number() });
const announceConfigSchema = versionSchema.extend({ from: z.string() });
const knownPlacementsSchema = z.object({
  known: z.array(z.object({
    fabricDomain: z.string(),
    objectVersion: z.number(),
  })),
});
const groupIdsSchema = z.object({ groupIds: z.array(z.string()).optional() });
const announceGroupHealthSchema = z.object({
  from: z.string(),
  digests: z.array(z.object({ groupId: z.string(), digest: z.string() })),
});

/**
 * Creates the tRPC procedures that exchange the configuration, the placements, the group health and the VM list between daemons.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerStateRouter(context: DaemonContext) {
  const handler = new PeerStateHandler(context);
  const { procedure } = peerTrpc;
  return peerTrpc.router({
    exchange: procedure.input(stateExchangeRequestSchema)
      .mutation(({ input }) => handler.handleExchange(input)),
    getConfig: procedure
      .query((): VersionedConfig | null =>
        context.configHolder.getCurrent() ?? null
      ),
    getConfigVersion: procedure.query(() => ({
      version: context.configHolder.getVersion(),
      digest: context.configHolder.getDigest(),
    })),
    prepareConfig: procedure.input(versionSchema).mutation(({ input }) => {
      context.agreement.recordPreparedVersion(input.version);
      return { version: context.configHolder.getVersion() };
    }),
    announceConfig: procedure.input(announceConfigSchema)
      .mutation(({ input }) => handler.handleAnnounceConfig(input)),
    getPlacement: procedure.input(knownPlacementsSchema)
      .mutation(({ input }) => handler.listNewerPlacements(input.known)),
    getGroupHealth: procedure.input(groupIdsSchema)
      .mutation(({ input }) => handler.listGroupHealth(input.groupIds)),
    announceGroupHealth: procedure.input(announceGroupHealthSchema)
      .mutation(({ input }) => handler.handleAnnounceGroupHealth(input)),
    getVms: procedure.query((): { vms: Vm[]; ageMs: number | null } => {
      const ageMs = context.vmTable.getAgeMs();
      return {
        vms: context.vmTable.getVms(),
        ageMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : null,
      };
    }),
  });
}

/** Handles the procedures of the state router that need more than one step. */
class PeerStateHandler {
  readonly #context: DaemonContext;
  readonly #sync: PeerSync;

  constructor(context: DaemonContext) {
    this.#context = context;
    this.#sync = new PeerSync(context);
  }

  /** Handles a state exchange. If the request names a newer configuration version, this daemon fetches it before it responds. */
  async handleExchange(
    request: StateExchangeRequest,
  ): Promise<StateExchangeResponse> {
    this.#context.timeline.mergeLamport(request.lamport);
    await this.#syncConfig(request.from, request.configVersion);
    return createStateExchangeResponse(this.#context);
  }

  async handleAnnounceConfig(
    input: { from: string; version: number },
  ): Promise<{ version: number }> {
    await this.#syncConfig(input.from, input.version);
    return { version: this.#context.configHolder.getVersion() };
  }

  async handleAnnounceGroupHealth(
    input: { from: string; digests: { groupId: string; digest: string }[] },
  ): Promise<{ fetched: number }> {
    const { healthTable } = this.#context;
    const groupIds = input.digests
      .filter((d) => healthTable.getGroupDigest(d.groupId) !== d.digest)
      .map((d) => d.groupId);
    const client = this.#findClient(input.from);
    if (groupIds.length > 0 && client !== undefined) {
      await this.#sync.syncGroupHealth(client, groupIds);
    }
    return { fetched: groupIds.length };
  }

  listNewerPlacements(
    known: readonly { fabricDomain: string; objectVersion: number }[],
  ): VersionedPlacement[] {
    const versions = new Map(
      known.map((k) => [k.fabricDomain, k.objectVersion]),
    );
    return this.#context.placementHolder.getPlacements().filter((p) =>
      p.objectVersion > (versions.get(p.placement.fabricDomain) ?? 0)
    );
  }

  listGroupHealth(groupIds: readonly string[] | undefined): GroupHealth[] {
    const nowMs = performance.now();
    return this.#context.healthTable.getAll()
      .filter((h) => groupIds === undefined || groupIds.includes(h.groupId))
      .map(({ observedAtMs, ...health }) => ({
        ...health,
        ageMs: Math.ceil(nowMs - observedAtMs),
      }));
  }

  /** Fetches the configuration from a peer if the peer has a newer version. A failure is logged and does not fail the peer's request. */
  async #syncConfig(from: string, version: number): Promise<void> {
    const client = this.#findClient(from);
    this.#context.agreement.recordKnownVersion(version);
    if (client === undefined) {
      return;
    }
    try {
      await this.#sync.syncConfig(client, version);
    } catch (error) {
      this.#context.logger.write("warn", "config-fetch-failed", {
        peer: from,
        version,
        message: getErrorMessage(error),
      });
    }
  }

  #findClient(name: string): PeerClient | undefined {
    const address = this.#context.vmTable.getVm(name)?.address;
    return address === undefined
      ? undefined
      : this.#context.peerClients.getClient(address);
  }
}
