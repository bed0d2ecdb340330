import type { EngineClient } from "../connection/engine_client.ts";
import type { ObjectStore } from "../connection/object_store.ts";
import type { PeerClients } from "../connection/peer_clients.ts";
import type { VmDirectory } from "../connection/vm_directory.ts";
import type { LifeCycleManager } from "../shared/life_cycle_manager.ts";
import type { Logger } from "../shared/logger.ts";
import type { Timeline } from "../shared/timeline.ts";
import type { ConfigHolder } from "../version/config_holder.ts";
import type { PlacementHolder } from "../version/placement_holder.ts";
import type { ZonePolicy } from "../version/zone_policy.ts";
import type { SharedAdmission } from "./admission/shared_admission.ts";
import type { ConfigRepository } from "../version/config_repository.ts";
import type { Admission } from "./admission.ts";
import type { AgreementTable } from "./agreement_table.ts";
import type { DaemonSettings } from "./daemon_settings.ts";
import type { EventRecorder } from "./event_recorder.ts";
import type { FreshnessTracker } from "./freshness_tracker.ts";
import type { GracefulStop } from "./graceful_stop.ts";
import type { GroupDirectory } from "./group_directory.ts";
import type { GroupHealthTable } from "./group_health.ts";
import type { HeldBytesLimiter } from "./held_bytes_limiter.ts";
import type { InFlightStreamTable } from "./in_flight_streams.ts";
import type { Membership } from "./membership.ts";
import type { Metrics } from "./metrics.ts";
import type { PromptPartReplica } from "./prompt_part_replica.ts";
import type { QuarantineList } from "./quarantine_list.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { VmTable } from "./vm_table.ts";

/** Components of one daemon that its tasks and request handlers share. */
export interface DaemonContext {
  readonly settings: DaemonSettings;
  readonly logger: Logger;
  readonly timeline: Timeline;
  readonly metrics: Metrics;
  /** Records events on the timeline and in the log. */
  readonly events: EventRecorder;
  readonly lifeCycle: LifeCycleManager;
  readonly store: ObjectStore;
  readonly vmDirectory: VmDirectory;
  readonly engineClient: EngineClient;
  readonly peerClients: PeerClients;
  readonly configHolder: ConfigHolder;
  readonly placementHolder: PlacementHolder;
  readonly zonePolicy: ZonePolicy;
  readonly vmTable: VmTable;
  readonly healthTable: GroupHealthTable;
  readonly groupDirectory: GroupDirectory;
  readonly admission: Admission;
  /** Admission control that shares capacity with the other daemons and answers their requests for loans. */
  readonly sharedAdmission: SharedAdmission;
  readonly freshness: FreshnessTracker;
  readonly quarantine: QuarantineList;
  readonly promptParts: PromptPartReplica;
  readonly inFlightStreams: InFlightStreamTable;
  readonly chatRetryBudget: RetryBudget;
  readonly heldBytes: HeldBytesLimiter;
  /** Random id of this run of the daemon, which distinguishes it from earlier runs under the same name. */
  readonly incarnation: string;
  readonly membership: Membership;
  readonly agreement: AgreementTable;
  readonly configRepository: ConfigRepository;
  readonly retryBudget: RetryBudget;
  readonly gracefulStop: GracefulStop;
}
