import type { PeerClient } from "../connection/peer_clients.ts";
import {
  createStateExchangeRequest,
  type StateExchangeResponse,
} from "../connection/state_exchange.ts";
import type { DomainPlacement } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Brings this daemon's state up to date with a peer's. */
export class PeerSync {
  readonly #context: DaemonContext;
  #syncedHealthDigests = "";

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /**
   * Exchanges digests with a peer and fetches what differs. Only the answer counts for freshness, from the time of the request: its age is known by this daemon's clock alone.
   *
   * @param address - Peer port.
   * @throws When the peer does not answer.
   */
  async syncPeer(address: string): Promise<void> {
    const { peerClients, timeline, membership, agreement, logger } =
      this.#context;
    const client = peerClients.getClient(address);
    const requestedAtMs = performance.now();
    const answer = await client.state.exchange.mutate(
      createStateExchangeRequest(this.#context),
    );
    timeline.mergeLamport(answer.lamport);
    const replaced = membership.recordReport({
      name: answer.from,
      incarnation: answer.incarnation,
      leaving: answer.leaving,
      configVersion: answer.configVersion,
      heardAtMs: requestedAtMs,
    });
    if (replaced) {
      logger.write("info", "peer-heard", {
        peer: answer.from,
        incarnation: answer.incarnation,
      });
    }
    await this.syncConfig(client, answer.configVersion);
    this.#takeConfirmation(answer, requestedAtMs);
    await this.#syncState(client, answer);
    agreement.mergeReport(answer, requestedAtMs);
  }

  /**
   * Fetches a peer's configuration if it is newer.
   *
   * @param client - Client of the peer.
   * @param version - Version that the peer has.
   */
  async syncConfig(client: PeerClient, version: number): Promise<void> {
    const { configHolder, agreement, logger } = this.#context;
    if (version <= configHolder.getVersion()) {
      return;
    }
    agreement.observeVersion(version);
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
   * @param groupIds - Groups to fetch; all when left out.
   */
  async syncGroupHealth(
    client: PeerClient,
    groupIds?: readonly string[],
  ): Promise<void> {
    const requestedAtMs = performance.now();
    const list = await client.state.getGroupHealth.mutate({
      groupIds: groupIds === undefined ? undefined : [...groupIds],
    });
    for (const health of list) {
      this.#context.healthTable.offerFromPeer({
        ...health,
        ageMs: health.ageMs + performance.now() - requestedAtMs,
      });
    }
  }

  #takeConfirmation(
    answer: StateExchangeResponse,
    requestedAtMs: number,
  ): void {
    const { configHolder, freshness, agreement, logger } = this.#context;
    const relation = configHolder.compare({
      version: answer.configVersion,
      digest: configHolder.getDigest().startsWith(answer.configDigest)
        ? configHolder.getDigest()
        : answer.configDigest,
    });
    if (relation === "conflicting" && answer.configVersion > 0) {
      logger.write("error", "config-conflict", {
        peer: answer.from,
        version: answer.configVersion,
        peerDigest: answer.configDigest,
        digest: configHolder.getDigest(),
      });
      return;
    }
    if (answer.confirmationAgeMs !== null && relation !== "newer") {
      const confirmedAtMs = requestedAtMs - answer.confirmationAgeMs;
      freshness.recordConfirmation(performance.now() - confirmedAtMs);
      agreement.observeConfirmation(confirmedAtMs);
    }
  }

  async #syncState(
    client: PeerClient,
    answer: StateExchangeResponse,
  ): Promise<void> {
    const { placementHolder, healthTable, vmTable } = this.#context;
    if (answer.placementDigest !== placementHolder.getDigest()) {
      await this.#syncPlacement(client);
    }
    if (answer.healthDigest !== healthTable.getDigest()) {
      await this.#syncHealthOnce(client, answer.healthDigest);
    }
    // A peer's list replaces this daemon's only when it was read clearly later, so that two readers don't swap lists.
    const youngerMs = vmTable.getAgeMs() - (answer.vmListAgeMs ?? Infinity);
    if (
      answer.vmListDigest !== vmTable.getDigest() &&
      youngerMs > this.#context.settings.exchangeIntervalMs
    ) {
      await this.#syncVms(client);
    }
  }

  /** Fetches once for each pair of digests: a difference that a fetch did not remove would cost the whole table with each exchange. */
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
    const newer = await client.state.getPlacement.mutate({
      known: placementHolder.getPlacements().map((p) => ({
        fabricDomain: p.placement.fabricDomain,
        objectVersion: p.objectVersion,
      })),
    });
    for (const { objectVersion, placement } of newer) {
      placementHolder.offer({
        objectVersion,
        placement: placement as DomainPlacement,
      });
    }
  }

  async #syncVms(client: PeerClient): Promise<void> {
    const requestedAtMs = performance.now();
    const list = await client.state.getVms.query();
    if (list.ageMs !== null) {
      this.#context.vmTable.replace(
        list.vms,
        performance.now() - requestedAtMs + list.ageMs,
      );
    }
  }
}
