import { describe, expect, it } from "vitest";
import {
  hasToCloseHead,
  type IncompleteGroupState,
  isServiceEnded,
} from "./incomplete_group_rules.ts";
import type { MemberState } from "./survivor_prober.ts";

const SERVING: IncompleteGroupState = {
  isLost: false,
  missingStates: ["alive"],
  headState: "open",
  isHeadUnknown: false,
  headProbeState: "alive",
  closeOutcome: undefined,
  incompleteMs: 60_000,
};

describe("isServiceEnded", () => {
  // Guards against members that leave while the head serves, and against members that wait for a head that has ended.
  it.each<[Partial<IncompleteGroupState>, boolean]>([
    [{}, false],
    [{ missingStates: ["alive", "ended"] }, true],
    [{ missingStates: ["silent"] }, false],
    [{ missingStates: ["silent"], headState: "closing" }, false],
    [{ missingStates: ["silent"], isLost: true }, true],
    [{ missingStates: ["silent"], headState: "ready" }, true],
    [{ missingStates: ["refused"] }, false],
    [{ missingStates: ["refused"], isLost: true }, true],
    [{ headProbeState: "refused", incompleteMs: 2_999 }, false],
    [
      { headProbeState: "refused", closeOutcome: "unknown", incompleteMs: 300 },
      true,
    ],
    [{ headProbeState: "alive", closeOutcome: "unknown" }, false],
    [{ headProbeState: "refused", closeOutcome: "begun" }, true],
    [
      { headProbeState: "refused", closeOutcome: "begun", incompleteMs: 2_999 },
      false,
    ],
    [{ headState: undefined }, true],
    [
      { headState: undefined, isHeadUnknown: true, incompleteMs: 2_999 },
      false,
    ],
    [
      { headState: undefined, isHeadUnknown: true, incompleteMs: 3_000 },
      true,
    ],
    [{ headState: "ready", headProbeState: "unknown" }, false],
    [{ headState: "broken" }, true],
    [{ headProbeState: "ended" }, true],
    [{ headProbeState: "silent", incompleteMs: 2_999 }, false],
    [{ headProbeState: "silent", incompleteMs: 3_000 }, true],
  ])("with %o: %s", (state, isEnded) => {
    expect(isServiceEnded({ ...SERVING, ...state })).toBe(isEnded);
  });
});

describe("hasToCloseHead", () => {
  // Guards against a close that is sent before it is known whether a member has ended, or to a head that carries it out much later.
  it.each<[MemberState[], MemberState | undefined, boolean]>([
    [[], undefined, true],
    [["alive"], undefined, true],
    [["silent"], undefined, true],
    [["refused"], undefined, true],
    [["refused"], "refused", true],
    [["unknown"], undefined, false],
    [["alive", "ended"], undefined, false],
    [["alive"], "alive", true],
    [["silent"], "silent", false],
  ])("with %j and the head %s: %s", (states, headProbeState, hasToClose) => {
    expect(hasToCloseHead(states, headProbeState)).toBe(hasToClose);
  });
});
