import type { PeerClient } from "../connection/peer_clients.ts";
import {
  createStateExchangeRequest,
  type StateExchangeResponse,
} from "../connection/state_exchange.ts";
import type { DomainPlacement } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Updates this daemon's state with the newer state of a peer. */
export class PeerSync {
  readonly #context: DaemonContext;
  #syncedHealthDigests = "";

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /**
   * Exchanges digests with a peer and fetches the state that differs. Only the response counts for freshness. Its age is counted from the time of the request, so that it depends on this daemon's clock alone.
   *
   * @param address - Address of the peer.
   * @throws If the peer does not respond.
   */
  async syncPeer(address: string): Promise<void> {
    const { peerClients, timeline, membership, agreement, logger } =
      this.#context;
    const client = peerClients.getClient(address);
    const requestedAtMs = performance.now();
    const response = await client.state.exchange.mutate(
      createStateExchangeRequest(this.#context),
    );
    timeline.mergeLamport(response.lamport);
    const isNewProcess = membership.recordReport({
      name: response.from,
      incarnation: response.incarnation,
      leaving: response.leaving,
      configVersion: response.configVersion,
      requestedAtMs,
    });
    if (isNewProcess) {
      logger.write("info", "peer-heard", {
        peer: response.from,
        incarnation: response.incarnation,
      });
    }
    await this.syncConfig(client, response.configVersion);
    this.#recordPeerConfirmation(response, requestedAtMs);
    await this.#syncState(client, response);
    agreement.mergeReport(response, requestedAtMs);
  }

  /**
   * Fetches a peer's configuration if it is newer.
   *
   * @param client - Client of the peer.
   * @param version - Version of the peer's configuration.
   */
  async syncConfig(client: PeerClient, version: number): Promise<void> {
    const { configHolder, agreement, logger } = this.#context;
    if (version <= configHolder.getVersion()) {
      return;
    }
    agreement.recordKnownVersion(version);
    const config = await client.state.getConfig.query();
    if (config !== null && configHolder.offer(config)) {
      logger.write("info", "config-applied", {
        version: config.version,
        source: "peer",
      });
    }
  }

  /**
   * Fetches the health of groups from a peer.
   *
   * @param client - Client of the peer.
   * @param groupIds - Groups to fetch, or undefined to fetch all groups.
   */
  async syncGroupHealth(
    client: PeerClient,
    groupIds?: readonly string[],
  ): Promise<void> {
    const requestedAtMs = performance.now();
    const healthList = await client.state.getGroupHealth.mutate({
      groupIds: groupIds === undefined ? undefined : [...groupIds],
    });
    for (const health of healthList) {
      this.#context.healthTable.offerFromPeer({
        ...health,
        ageMs: health.ageMs + performance.now() - requestedAtMs,
      });
    }
  }

  #recordPeerConfirmation(
    response: StateExchangeResponse,
    requestedAtMs: number,
  ): void {
    const { configHolder, freshness, agreement, logger } = this.#context;
    const relation = configHolder.compare({
      version: response.configVersion,
      digest: configHolder.getDigest().startsWith(response.configDigest)
        ? configHolder.getDigest()
        : response.configDigest,
    });
    if (relation === "conflicting" && response.configVersion > 0) {
      logger.write("error", "config-conflict", {
        peer: response.from,
        version: response.configVersion,
        peerDigest: response.configDigest,
        digest: configHolder.getDigest(),
      });
      return;
    }
    if (response.confirmationAgeMs !== null && relation !== "newer") {
      const confirmedAtMs = requestedAtMs - response.confirmationAgeMs;
      freshness.recordConfirmation(performance.now() - confirmedAtMs);
      agreement.recordConfirmation(confirmedAtMs);
    }
  }

  async #syncState(
    client: PeerClient,
    response: StateExchangeResponse,
  ): Promise<void> {
    const { placementHolder, healthTable, vmTable } = this.#context;
    if (response.placementDigest !== placementHolder.getDigest()) {
      await this.#syncPlacement(client);
    }
    if (response.healthDigest !== healthTable.getDigest()) {
      await this.#syncHealthOnce(client, response.healthDigest);
    }
    // The peer's VM list is fetched only if it was read more than one exchange interval later than this daemon's, so that two store readers don't keep replacing each other's lists.
    const ageDifferenceMs = vmTable.getAgeMs() -
      (response.vmListAgeMs ?? Infinity);
    if (
      response.vmListDigest !== vmTable.getDigest() &&
      ageDifferenceMs > this.#context.settings.exchangeIntervalMs
    ) {
      await this.#syncVms(client);
    }
  }

  /** Fetches a peer's group health, unless both digests are unchanged since the last fetch. Otherwise, a difference that a fetch can't remove would transfer the whole table with each exchange. */
  async #syncHealthOnce(client: PeerClient, digest: number): Promise<void> {
    const { healthTable } = this.#context;
    if (`${digest} ${healthTable.getDigest()}` === this.#syncedHealthDigests) {
      return;
    }
    await this.syncGroupHealth(client);
    this.#syncedHealthDigests = `${digest} ${healthTable.getDigest()}`;
  }

  async #syncPlacement(client: PeerClient): Promise<void> {
    const { placementHolder } = this.#context;
    const newerPlacements = await client.state.getPlacement.mutate({
      known: placementHolder.getPlacements().map((p) => ({
        fabricDomain: p.placement.fabricDomain,
        objectVersion: p.objectVersion,
      })),
    });
    for (const { objectVersion, placement } of newerPlacements) {
      placementHolder.offer({
        objectVersion,
        placement: placement as DomainPlacement,
      });
    }
  }

  async #syncVms(client: PeerClient): Promise<void> {
    const requestedAtMs = performance.now();
    const vmList = await client.state.getVms.query();
    if (vmList.ageMs !== null) {
      this.#context.vmTable.replace(
        vmList.vms,
        performance.now() - requestedAtMs + vmList.ageMs,
      );
    }
  }
}
