import "reflect-metadata";
import { randomBytes } from "node:crypto";
import { Container, type ServiceIdentifier } from "inversify";
import { HttpEngineClient } from "../connection/http_engine_client.ts";
import { HttpPlatformClient } from "../connection/http_platform_client.ts";
import { HttpPeerClients } from "../connection/peer_clients.ts";
import { PeerLoanChannel } from "../connection/peer_loan_channel.ts";
import { LifeCycleManager } from "../shared/life_cycle_manager.ts";
import { type Logger, ProcessLogger } from "../shared/logger.ts";
import { Timeline } from "../shared/timeline.ts";
import { ConfigHolder } from "../version/config_holder.ts";
import { ConfigRepository } from "../version/config_repository.ts";
import {
  CompositeConfigRules,
  type ConfigRules,
} from "../version/config_rule.ts";
import { checkConfigRules } from "../version/config_rules.ts";
import { PlacementHolder } from "../version/placement_holder.ts";
import { ConfigZonePolicy, type ZonePolicy } from "../version/zone_policy.ts";
import { SharedAdmission } from "./admission/shared_admission.ts";
import type { Admission } from "./admission.ts";
import { AgreementTable } from "./agreement_table.ts";
import { ConfigAnnouncer } from "./config_announcer.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { DaemonSettings } from "./daemon_settings.ts";
import { EventRecorder } from "./event_recorder.ts";
import { FreshnessTracker } from "./freshness_tracker.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { GroupDirectory } from "./group_directory.ts";
import { GroupHealthTable } from "./group_health.ts";
import { HeldBytesLimiter } from "./held_bytes_limiter.ts";
import { InFlightStreamTable } from "./in_flight_streams.ts";
import { LocalQuarantineList, type QuarantineList } from "./quarantine_list.ts";
import { ExchangeMembership, type Membership } from "./membership.ts";
import { Metrics } from "./metrics.ts";
import { PromptPartReplica } from "./prompt_part_replica.ts";
import { RetryBudget } from "./retry_budget.ts";
import { VmTable } from "./vm_table.ts";

const PEER_TIMEOUT_MS = 1_000;
/** Retry budget of chat requests. It is separate, since the loss of one group causes a retry of each of its streams at once. */
const CHAT_RETRY_BUDGET = { ratio: 0.2, maxTokens: 256, initialTokens: 256 };
/** Time after a group loss before the daemon decides which requests to quarantine, in milliseconds. In this time the other daemons that ran a request on the group notice the loss and report it, without waiting for the next exchange. */
const QUARANTINE_DECISION_DELAY_MS = 500;
/** Length of the random id of a run of the daemon, in bytes. */
const INCARNATION_BYTES = 6;

/** Container identifiers of the services that are declared as interfaces or types, which have no class to identify them. */
export const SERVICES = {
  settings: Symbol("DaemonSettings") as ServiceIdentifier<DaemonSettings>,
  logger: Symbol("Logger") as ServiceIdentifier<Logger>,
  zonePolicy: Symbol("ZonePolicy") as ServiceIdentifier<ZonePolicy>,
  admission: Symbol("Admission") as ServiceIdentifier<Admission>,
  quarantine: Symbol("QuarantineList") as ServiceIdentifier<QuarantineList>,
  chatRetryBudget: Symbol("ChatRetryBudget") as ServiceIdentifier<RetryBudget>,
  membership: Symbol("Membership") as ServiceIdentifier<Membership>,
  configRules: Symbol("ConfigRules") as ServiceIdentifier<ConfigRules>,
  context: Symbol("DaemonContext") as ServiceIdentifier<DaemonContext>,
};

/**
 * Creates the dependency injection container with the components of one daemon.
 *
 * @param settings - Validated settings of the daemon.
 * @example
 * ```ts
 * const context = createContainer(settings).get(SERVICES.context);
 * ```
 */
export function createContainer(settings: DaemonSettings): Container {
  const container = new Container({ defaultScope: "Singleton" });
  container.bind(SERVICES.settings).toConstantValue(settings);
  container.bind(LifeCycleManager).toConstantValue(new LifeCycleManager());
  container.bind(SERVICES.logger).toConstantValue(
    new ProcessLogger({ daemon: settings.name }, {
      minLevel: settings.logLevel,
    }),
  );
  container.bind(Timeline).toConstantValue(new Timeline(settings.name));
  container.bind(Metrics).toConstantValue(new Metrics());
  container.bind(EventRecorder).toResolvedValue(
    (timeline: Timeline, logger: Logger) =>
      new EventRecorder({ timeline, logger }),
    [Timeline, SERVICES.logger],
  );
  container.bind(ConfigHolder).toConstantValue(new ConfigHolder());
  container.bind(PlacementHolder).toConstantValue(new PlacementHolder());
  container.bind(VmTable).toConstantValue(new VmTable());
  container.bind(GroupHealthTable).toConstantValue(
    new GroupHealthTable(settings.name),
  );
  container.bind(RetryBudget).toConstantValue(new RetryBudget());
  container.bind(GracefulStop).toResolvedValue(
    (logger: Logger) => new GracefulStop(settings, logger),
    [SERVICES.logger],
  );
  bindClients(container, settings);
  bindMembershipAndConfig(container, settings);
  bindRequestServices(container, settings);
  bindContext(container);
  return container;
}

function bindClients(container: Container, settings: DaemonSettings): void {
  container.bind(HttpPlatformClient).toConstantValue(
    new HttpPlatformClient({
      url: settings.platformUrl,
      metrics: container.get(Metrics),
    }),
  );
  container.bind(HttpEngineClient).toConstantValue(new HttpEngineClient());
  const peerClients = new HttpPeerClients({ timeoutMs: PEER_TIMEOUT_MS });
  container.get(LifeCycleManager).add(peerClients);
  container.bind(HttpPeerClients).toConstantValue(peerClients);
}

function bindMembershipAndConfig(
  container: Container,
  settings: DaemonSettings,
): void {
  const limitMs = settings.freshnessLimitMs;
  container.bind(SERVICES.membership).toResolvedValue(
    (vmTable) =>
      new ExchangeMembership({
        ownName: settings.name,
        zone: settings.zone,
        vmTable,
        limitMs,
      }),
    [VmTable],
  );
  container.bind(AgreementTable).toResolvedValue(
    (configHolder, membership) =>
      new AgreementTable({
        ownName: settings.name,
        limitMs,
        configHolder,
        getListedNames: () => membership.getListedNames(),
      }),
    [ConfigHolder, SERVICES.membership],
  );
  container.bind(SERVICES.configRules).toResolvedValue(
    (vmTable: VmTable) =>
      new CompositeConfigRules([({ document, current }) =>
        checkConfigRules({
          current,
          document,
          // Before the first VM list, it is unknown whether the groups fit on the VMs.
          vms: vmTable.getBackendVms().length > 0
            ? vmTable.getBackendVms()
            : undefined,
          nowMs: Date.now(),
        })]),
    [VmTable],
  );
  container.bind(ConfigAnnouncer).toDynamicValue(({ get }) =>
    new ConfigAnnouncer({
      settings,
      logger: get(SERVICES.logger),
      lifeCycle: get(LifeCycleManager),
      peerClients: get(HttpPeerClients),
      vmTable: get(VmTable),
      membership: get(SERVICES.membership),
      agreement: get(AgreementTable),
      configHolder: get(ConfigHolder),
      healthTable: get(GroupHealthTable),
    })
  );
  container.bind(ConfigRepository).toDynamicValue(({ get }) =>
    new ConfigRepository({
      store: get(HttpPlatformClient),
      configHolder: get(ConfigHolder),
      rules: get(SERVICES.configRules),
      propagation: get(ConfigAnnouncer),
      logger: get(SERVICES.logger),
    })
  );
}

function bindRequestServices(
  container: Container,
  settings: DaemonSettings,
): void {
  container.bind(FreshnessTracker).toResolvedValue(
    (agreement) =>
      new FreshnessTracker({
        limitMs: settings.freshnessLimitMs,
        hasMajority: () => agreement.hasMajority(),
      }),
    [AgreementTable],
  );
  container.bind(SERVICES.quarantine).toConstantValue(
    new LocalQuarantineList({
      expiryMs: settings.quarantineExpiryMs,
      decisionDelayMs: QUARANTINE_DECISION_DELAY_MS,
    }),
  );
  container.bind(PromptPartReplica).toResolvedValue(
    (logger: Logger) => new PromptPartReplica(logger),
    [SERVICES.logger],
  );
  container.bind(InFlightStreamTable).toConstantValue(
    new InFlightStreamTable(),
  );
  container.bind(SERVICES.chatRetryBudget).toConstantValue(
    new RetryBudget(CHAT_RETRY_BUDGET),
  );
  container.bind(HeldBytesLimiter).toConstantValue(
    new HeldBytesLimiter({ maxProcessBytes: settings.maxHeldBytes }),
  );
  container.bind(SERVICES.zonePolicy).toResolvedValue(
    (configHolder: ConfigHolder) => new ConfigZonePolicy(configHolder),
    [ConfigHolder],
  );
  container.bind(GroupDirectory).toResolvedValue(
    (
      configHolder,
      placementHolder,
      healthTable,
      vmTable,
      zonePolicy,
      freshness,
    ) =>
      new GroupDirectory({
        configHolder,
        placementHolder,
        healthTable,
        vmTable,
        zonePolicy,
        freshness,
      }),
    [
      ConfigHolder,
      PlacementHolder,
      GroupHealthTable,
      VmTable,
      SERVICES.zonePolicy,
      FreshnessTracker,
    ],
  );
  bindAdmission(container, settings);
}

function bindAdmission(container: Container, settings: DaemonSettings): void {
  container.bind(SharedAdmission).toDynamicValue(({ get }) =>
    new SharedAdmission({
      name: settings.name,
      zone: settings.zone,
      vmListLagMs: settings.vmListLagMs,
      vmListIntervalMs: settings.exchangeIntervalMs,
      longestRequestMs: settings.defaultDeadlineMs,
      directory: get(GroupDirectory),
      configHolder: get(ConfigHolder),
      placementHolder: get(PlacementHolder),
      healthTable: get(GroupHealthTable),
      vmTable: get(VmTable),
      channel: new PeerLoanChannel({
        peerClients: get(HttpPeerClients),
        vmTable: get(VmTable),
      }),
      signal: get(LifeCycleManager).signal,
    })
  );
  container.bind(SERVICES.admission).toResolvedValue(
    (admission: SharedAdmission) => admission,
    [SharedAdmission],
  );
}

function bindContext(container: Container): void {
  container.bind(SERVICES.context).toDynamicValue(({ get }): DaemonContext => ({
    settings: get(SERVICES.settings),
    logger: get(SERVICES.logger),
    timeline: get(Timeline),
    metrics: get(Metrics),
    events: get(EventRecorder),
    lifeCycle: get(LifeCycleManager),
    store: get(HttpPlatformClient),
    vmDirectory: get(HttpPlatformClient),
    engineClient: get(HttpEngineClient),
    peerClients: get(HttpPeerClients),
    configHolder: get(ConfigHolder),
    placementHolder: get(PlacementHolder),
    zonePolicy: get(SERVICES.zonePolicy),
    vmTable: get(VmTable),
    healthTable: get(GroupHealthTable),
    groupDirectory: get(GroupDirectory),
    admission: get(SERVICES.admission),
    sharedAdmission: get(SharedAdmission),
    freshness: get(FreshnessTracker),
    quarantine: get(SERVICES.quarantine),
    promptParts: get(PromptPartReplica),
    inFlightStreams: get(InFlightStreamTable),
    chatRetryBudget: get(SERVICES.chatRetryBudget),
    heldBytes: get(HeldBytesLimiter),
    incarnation: randomBytes(INCARNATION_BYTES).toString("base64url"),
    membership: get(SERVICES.membership),
    agreement: get(AgreementTable),
    configRepository: get(ConfigRepository),
    retryBudget: get(RetryBudget),
    gracefulStop: get(GracefulStop),
  }));
}
