import { delay } from "../src/shared/delay.ts";

/** Fault switches that every fake understands. */
export interface CommonFaults {
  /** Delay before each answer, in milliseconds. */
  delayMs: number;
  /** Number of next calls that are refused with status 503. */
  refuseNext: number;
  /** Refuses all calls with status 503. */
  down: boolean;
  /** Number of next writes that take effect while their answer is dropped. */
  dropAnswerNext: number;
}

/** Creates fault switches that are all off. */
export function createCommonFaults(): CommonFaults {
  return { delayMs: 0, refuseNext: 0, down: false, dropAnswerNext: 0 };
}

/**
 * Applies the faults that precede a call.
 *
 * @param faults - Switches of the fake.
 * @returns `true` when the call has to be refused.
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
 * Takes one dropped answer from the switches.
 *
 * @param faults - Switches of the fake.
 * @returns `true` when the answer of the current write has to be dropped.
 */
export function takeDroppedResponse(faults: CommonFaults): boolean {
  if (faults.dropAnswerNext === 0) {
    return false;
  }
  faults.dropAnswerNext--;
  return true;
}
