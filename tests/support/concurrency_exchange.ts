import type { PeerRelation } from "../../src/connection/peer_notice.ts";
import {
  type ConcurrencyPart,
  createConcurrencyPart,
} from "../../src/process/concurrency/concurrency_part.ts";

/** Number of daemons that are hubs; each has half of the others as members. */
export const HUBS = 2;

/** Learned concurrency of several daemons without a network, and their exchange of reports. */
export class ConcurrencyExchange {
  readonly parts: readonly ConcurrencyPart[];
  readonly #sent = new Map<string, unknown>();

  /**
   * @param daemonCount - Number of daemons, of which the first two are hubs.
   * @param getLoad - Gets the number of requests in flight in a group that a daemon knows of.
   */
  constructor(
    daemonCount: number,
    getLoad: (key: string, daemon: number) => number,
  ) {
    this.parts = Array.from(
      { length: daemonCount },
      (_, daemon) =>
        createConcurrencyPart({
          logger: { write: () => {} },
          getLoad: (key) => getLoad(key, daemon),
          onReportChange: () => {},
        }),
    );
  }

  /** Delivers the reports of all daemons that have changed, as JSON. */
  sendReports(isCut: (from: number, to: number) => boolean = () => false) {
    const deliver = (from: number, to: number, relation: PeerRelation) => {
      const report = this.parts[from].sections[0].getReport(relation);
      const link = `${from} ${to}`;
      if (
        report !== undefined && this.#sent.get(link) !== report &&
        !isCut(from, to)
      ) {
        this.#sent.set(link, report);
        this.parts[to].sections[0].applyReport(
          String(from),
          relation,
          JSON.parse(JSON.stringify(report)),
        );
      }
    };
    const daemonCount = this.parts.length;
    for (let i = HUBS; i < daemonCount; i++) {
      deliver(i, i % HUBS, "member");
    }
    deliver(0, 1, "equal");
    deliver(1, 0, "equal");
    for (let i = HUBS; i < daemonCount; i++) {
      deliver(i % HUBS, i, "hub");
    }
  }
}
