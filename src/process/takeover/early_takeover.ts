import type { DaemonDescription } from "../../connection/peer_notice.ts";
import type { Logger } from "../../shared/logger.ts";
import type { Metrics } from "../metrics.ts";
import { getCandidateRank } from "./candidate_rank.ts";
import type { ProcessEndReports } from "./process_end_reports.ts";
import {
  decideTakeover,
  type LeaseTerm,
  type ProcessEndReport,
  type TakeoverDecision,
} from "./takeover_decision.ts";

/** Circumstances of the lease at this daemon. */
export interface LeaseCircumstances {
  /** Highest term that this daemon has read, held or heard of. */
  readonly highestTerm: number;
  readonly isStoreReachable: boolean;
  /** Time since this daemon last held the lease or started, in milliseconds. */
  readonly idleMs: number;
}

/** Daemons as this one knows them. */
interface KnownDaemons {
  /** Lists the other daemons that are not known to be lost. */
  listLivePeers(): DaemonDescription[];
  /** Lists the other daemons, including recently lost ones. */
  listKnownPeers(): DaemonDescription[];
}

/** Takeover of the planner's lease whose holder's process has ended, before the lease lapses. */
export class EarlyTakeover {
  readonly #ownDaemon: DaemonDescription;
  readonly #daemons: KnownDaemons;
  readonly #reports: ProcessEndReports;
  readonly #areOrdersFenced: boolean;
  readonly #returnPauseMs: number;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #announce: () => void;

  constructor(options: {
    ownDaemon: DaemonDescription;
    daemons: KnownDaemons;
    reports: ProcessEndReports;
    /** Whether backend servers refuse orders of an earlier term. */
    areOrdersFenced: boolean;
    /** Time for which a daemon that has lost the lease does not take it over early, in milliseconds. */
    returnPauseMs: number;
    logger: Logger;
    metrics: Metrics;
    /** Sends the state of this daemon to its partners at once. */
    announce(): void;
  }) {
    this.#ownDaemon = options.ownDaemon;
    this.#daemons = options.daemons;
    this.#reports = options.reports;
    this.#areOrdersFenced = options.areOrdersFenced;
    this.#returnPauseMs = options.returnPauseMs;
    this.#logger = options.logger;
    this.#metrics = options.metrics;
    this.#announce = () => options.announce();
  }

  /**
   * Gets the time until this daemon may try to take over the reported lease, in milliseconds; 0 when it may try now, undefined without sufficient evidence. The read of the lease that follows shows whether the store responds.
   *
   * @param circumstances - Circumstances of the lease, before it is read from the store.
   */
  getWaitMs(circumstances: LeaseCircumstances): number | undefined {
    const lease = this.#findReportedLease();
    if (lease === undefined) {
      return undefined;
    }
    const decision = this.#decide(lease, {
      ...circumstances,
      isStoreReachable: true,
    });
    switch (decision.kind) {
      case "take-over":
        return 0;
      case "wait":
        return decision.waitMs;
      case "decline":
        return undefined;
    }
  }

  /**
   * Finds the reports that allow this daemon to take over a lease now.
   *
   * @param lease - Lease as just read from the store.
   * @param circumstances - Circumstances of the lease after the read.
   */
  findEvidence(
    lease: LeaseTerm,
    circumstances: LeaseCircumstances,
  ): readonly ProcessEndReport[] | undefined {
    const decision = this.#decide(lease, circumstances);
    return decision.kind === "take-over" ? decision.evidence : undefined;
  }

  /**
   * Records that this daemon has taken over the lease.
   *
   * @param term - New term.
   * @param evidence - Reports on which the takeover is based.
   */
  recordTakeover(term: number, evidence: readonly ProcessEndReport[]): void {
    const nowMs = performance.now();
    this.#metrics.count("early_takeovers");
    this.#logger.write("info", "lease-takeover-early", {
      term,
      previousHolder: evidence[0]?.holder,
      previousTerm: evidence[0]?.term,
      reporters: evidence.map(({ reporter, zone }) => `${reporter}/${zone}`)
        .join(","),
      agesMs: evidence.map(({ atMs }) => Math.round(nowMs - atMs)).join(","),
    });
    this.#announce();
  }

  /** Finds the lease of the latest term that the reports name. */
  #findReportedLease(): LeaseTerm | undefined {
    return this.#reports.listReports().reduce<LeaseTerm | undefined>(
      (found, report) => (found?.term ?? -1) >= report.term ? found : report,
      undefined,
    );
  }

  #decide(
    { holder, term }: LeaseTerm,
    { highestTerm, ...circumstances }: LeaseCircumstances,
  ): TakeoverDecision {
    if (term < highestTerm || holder === this.#ownDaemon.name) {
      return { kind: "decline" };
    }
    const zones = this.#daemons.listKnownPeers().filter(({ name }) =>
      name !== holder
    ).map(({ zone }) => zone);
    return decideTakeover({
      ...circumstances,
      nowMs: performance.now(),
      lease: { holder, term },
      reports: this.#reports.listReports(),
      zoneCount: new Set([...zones, this.#ownDaemon.zone]).size,
      candidateRank: getCandidateRank(this.#ownDaemon, {
        peers: this.#daemons.listLivePeers(),
        holder,
      }),
      areOrdersFenced: this.#areOrdersFenced,
      returnPauseMs: this.#returnPauseMs,
    });
  }
}
