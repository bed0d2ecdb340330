import { checkListener } from "../../connection/peer_listener.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";
import type { Logger } from "../../shared/logger.ts";
import type { PeerTable } from "../fleet/peer_table.ts";
import type { Metrics } from "../metrics.ts";
import type { RoutingPart } from "../routing_parts.ts";
import { EarlyTakeover } from "./early_takeover.ts";
import { getCandidateRank } from "./candidate_rank.ts";
import { HolderWatcher } from "./holder_watcher.ts";
import { ProcessEndDetector } from "./process_end_detector.ts";
import { ProcessEndReports } from "./process_end_reports.ts";

/** Default time for which a daemon that has lost the lease does not take it over early, in milliseconds. It is the time between the acquisition of the lease and the first call of a duty. */
const RETURN_PAUSE_MS = 3_000;

/** Number of candidates that watch a holder without a link to them. They are in different zones where there are several, and they are the first that need the evidence. */
const MAX_WATCHERS = 4;

/** Part that takes over the lease of a planner whose process has ended. */
export interface TakeoverPart extends RoutingPart {
  readonly takeover: EarlyTakeover;
  readonly detector: ProcessEndDetector;
  /** Handles a new link with a partner. */
  handleLink(partner: string): void;
}

/** Creates the part that takes over the lease of a planner whose process has ended. */
export function createTakeoverPart(
  options: {
    ownDaemon: DaemonDescription;
    areOrdersFenced: boolean;
    /** Time between the acquisition of the lease and the first call of a duty, in milliseconds. */
    leaseMs?: number;
    peerTable: PeerTable;
    logger: Logger;
    metrics: Metrics;
    /** Sends the state of this daemon to its partners at once. */
    announce(): void;
    /** Called when there is a report that was not known. */
    onReport(): void;
  },
): TakeoverPart {
  const { ownDaemon, peerTable, leaseMs = 0 } = options;
  const reports = new ProcessEndReports({
    ownName: ownDaemon.name,
    ownZone: ownDaemon.zone,
    findZone: (name) => peerTable.findPartner(name)?.description.zone,
    onOwnReport: () => options.announce(),
    onReport: () => options.onReport(),
  });
  const detector = new ProcessEndDetector({
    findPlanner: () => peerTable.findPlanner(),
    checkListener,
    onEnded: (lease) => reports.recordOwn(lease),
  });
  const handleLink = (partner: string) => {
    detector.cancel(partner);
    reports.forgetHolder(partner);
  };
  const watcher = new HolderWatcher({
    findHolder: () => findUnlinkedHolder(ownDaemon, peerTable),
    onConnected: handleLink,
    onEnded: (holder) => void detector.checkPartner(holder),
  });
  return {
    name: "takeover",
    sections: [reports],
    tasks: new Map(options.areOrdersFenced ? [["takeover", watcher]] : []),
    addGauges: () => {},
    takeover: new EarlyTakeover({
      ...options,
      daemons: peerTable,
      reports,
      returnPauseMs: Math.max(RETURN_PAUSE_MS, leaseMs),
    }),
    detector,
    handleLink,
  };
}

/** Finds the holder if it has no link with this daemon and this daemon is one of the first candidates. A member that holds the lease is linked with its hub only. */
function findUnlinkedHolder(
  ownDaemon: DaemonDescription,
  peerTable: PeerTable,
): DaemonDescription | undefined {
  const holder = peerTable.findPlanner()?.name;
  if (holder === undefined || peerTable.findPartner(holder) !== undefined) {
    return undefined;
  }
  const peers = peerTable.listLivePeers();
  const rank = getCandidateRank(ownDaemon, { peers, holder });
  return rank !== undefined && rank < MAX_WATCHERS
    ? peers.find(({ name }) => name === holder)
    : undefined;
}
