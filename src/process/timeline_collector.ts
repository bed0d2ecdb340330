import { getErrorMessage } from "../shared/errors.ts";
import type { TimelineEvent } from "../shared/timeline.ts";
import { mergeTimelines } from "../shared/timeline_merge.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Timeline of all daemons that responded. */
export interface CollectedTimeline {
  /** Events in causal order. */
  readonly events: readonly TimelineEvent[];
  /** Names of the daemons that did not respond. */
  readonly missing: readonly string[];
}

/** Collects the timelines of all daemons. */
export class TimelineCollector {
  readonly #context: DaemonContext;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /**
   * Collects the events of this daemon and its peers.
   *
   * @param filter - Limits the events to those of one request, if set.
   */
  async collect(
    filter: { requestId?: string } = {},
  ): Promise<CollectedTimeline> {
    const { timeline, vmTable, settings } = this.#context;
    const peers = vmTable.getEntryVms()
      .filter((vm) => vm.name !== settings.name);
    const missing: string[] = [];
    const peerEvents = await Promise.all(peers.map(async (vm) => {
      const events = await this.#getPeerEvents(vm.address, filter);
      if (events === undefined) {
        missing.push(vm.name);
      }
      return events ?? [];
    }));
    return {
      events: mergeTimelines([timeline.getEvents(filter), ...peerEvents]),
      missing,
    };
  }

  async #getPeerEvents(
    address: string,
    filter: { requestId?: string },
  ): Promise<TimelineEvent[] | undefined> {
    try {
      return await this.#context.peerClients.getClient(address)
        .timeline.getEvents.query(filter);
    } catch (error) {
      this.#context.logger.write("debug", "timeline-peer-missing", {
        address,
        message: getErrorMessage(error),
      });
      return undefined;
    }
  }
}
