import type { DutyFence } from "../../connection/duty_client.ts";

/** Right of one daemon at a time to make the calls of the singleton duties. */
export interface DutyLease {
  /** Gets the fence while this daemon may make calls, and undefined otherwise. */
  getFence(): DutyFence | undefined;
  /** Records that a call with this fence was refused because another daemon has used a higher token. No further call is made with it. */
  recordFenced(fence: DutyFence): void;
}
