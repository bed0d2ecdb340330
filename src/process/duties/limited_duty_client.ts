import type {
  DutyCallOutcome,
  DutyClient,
  DutyFence,
  ServerCountOrder,
  UsageReport,
} from "../../connection/duty_client.ts";

/** Share of the permitted rate that one daemon uses. During a takeover the previous holder may still make calls, and both together have to stay below the rate. */
const RATE_SHARE = 0.5;
/** Time over which the rate is counted, in milliseconds; the platform permits a number of calls per second. */
const RATE_PERIOD_MS = 1_000;

/** Bounds the rate of the duty calls of this daemon. A call above the rate is not sent and has the outcome `limited`. */
export class LimitedDutyClient implements DutyClient {
  readonly #client: DutyClient;
  readonly #maxCalls: number;
  /** Monotonic times of the calls within the last period, in milliseconds. */
  #calledAtMs: number[] = [];

  /**
   * @param options - Client that makes the calls, and the number of calls per second that all daemons may make together.
   */
  constructor(options: { client: DutyClient; callsPerSecond: number }) {
    this.#client = options.client;
    this.#maxCalls = Math.max(
      1,
      Math.floor(options.callsPerSecond * RATE_SHARE),
    );
  }

  reportUsage(report: UsageReport, fence: DutyFence): Promise<DutyCallOutcome> {
    return this.#tryCall(() => this.#client.reportUsage(report, fence));
  }

  requestServers(
    order: ServerCountOrder,
    fence: DutyFence,
  ): Promise<DutyCallOutcome> {
    return this.#tryCall(() => this.#client.requestServers(order, fence));
  }

  #tryCall(call: () => Promise<DutyCallOutcome>): Promise<DutyCallOutcome> {
    const nowMs = performance.now();
    this.#calledAtMs = this.#calledAtMs.filter((atMs) =>
      nowMs - atMs < RATE_PERIOD_MS
    );
    if (this.#calledAtMs.length >= this.#maxCalls) {
      return Promise.resolve("limited");
    }
    this.#calledAtMs.push(nowMs);
    return call();
  }
}
