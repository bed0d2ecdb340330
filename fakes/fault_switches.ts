import { delay } from "../src/shared/delay.ts";

/** Fault switches that all fakes support. */
export interface CommonFaults {
  /** Delay before each response, in milliseconds. */
  delayMs: number;
  /** Number of upcoming requests that are refused with status 503. */
  refuseNext: number;
  /** Whether all requests are refused with status 503. */
  down: boolean;
  /** Number of upcoming writes that take effect but whose response is dropped. */
  dropAnswerNext: number;
}

/** Creates fault switches with all faults off. */
export function createCommonFaults(): CommonFaults {
  return { delayMs: 0, refuseNext: 0, down: false, dropAnswerNext: 0 };
}

/**
 * Applies the delay and checks whether a request has to be refused.
 *
 * @param faults - Fault switches of the fake; `refuseNext` is decremented.
 * @returns `true` when the request has to be refused.
 */
export async function applyFaultsBeforeRequest(
  faults: CommonFaults,
): Promise<boolean> {
  if (faults.delayMs > 0) {
    await delay(faults.delayMs);
  }
  if (faults.refuseNext > 0) {
    faults.refuseNext--;
    return true;
  }
  return faults.down;
}

/**
 * Checks whether the response of the current write has to be dropped.
 *
 * @param faults - Fault switches of the fake; `dropAnswerNext` is decremented.
 * @returns `true` when the response has to be dropped.
 */
export function takeDroppedResponse(faults: CommonFaults): boolean {
  if (faults.dropAnswerNext === 0) {
    return false;
  }
  faults.dropAnswerNext--;
  return true;
}
