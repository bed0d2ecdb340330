import type { DaemonDescription } from "../../connection/peer_notice.ts";
import type { ListenerState } from "../../connection/peer_listener.ts";
import { delay } from "../../shared/delay.ts";
import type { LeaseTerm } from "./takeover_decision.ts";

/** Number of connection attempts after the end of a link. An ending process may close its listener after its connections. */
const MAX_ATTEMPTS = 5;
/** Time between two connection attempts in milliseconds. */
const ATTEMPT_INTERVAL_MS = 50;

/** Detects that the process of the lease holder has ended: its side closed the link, and its address refuses a new connection. */
export class ProcessEndDetector {
  readonly #findPlanner: () => { name: string; term: number } | undefined;
  readonly #checkListener: (address: string) => Promise<ListenerState>;
  readonly #onEnded: (lease: LeaseTerm) => void;
  /** Checks in progress by the name of the daemon. */
  readonly #checks = new Map<string, AbortController>();

  constructor(options: {
    /** Finds the planner that was confirmed recently. */
    findPlanner(): { name: string; term: number } | undefined;
    /** Checks whether a process listens at an address. */
    checkListener(address: string): Promise<ListenerState>;
    /** Called when the process of the lease holder has ended. */
    onEnded(lease: LeaseTerm): void;
  }) {
    this.#findPlanner = () => options.findPlanner();
    this.#checkListener = (address) => options.checkListener(address);
    this.#onEnded = (lease) => options.onEnded(lease);
  }

  /** Checks a partner whose side has closed its link, if it is the planner. */
  async checkPartner({ name, address }: DaemonDescription): Promise<void> {
    const planner = this.#findPlanner();
    if (planner?.name !== name) {
      return;
    }
    this.cancel(name);
    const check = new AbortController();
    this.#checks.set(name, check);
    if (await this.#isRefused(address, check.signal)) {
      this.#onEnded({ holder: name, term: planner.term });
    }
    if (this.#checks.get(name) === check) {
      this.#checks.delete(name);
    }
  }

  /** Cancels the check of a daemon that is linked again. */
  cancel(name: string): void {
    this.#checks.get(name)?.abort();
    this.#checks.delete(name);
  }

  async #isRefused(address: string, signal: AbortSignal): Promise<boolean> {
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const state = await this.#checkListener(address);
      if (signal.aborted) {
        return false;
      }
      if (state === "refused") {
        return true;
      }
      await delay(ATTEMPT_INTERVAL_MS, signal);
    }
    return false;
  }
}
