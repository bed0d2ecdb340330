import { describe, expect, it } from "vitest";
import type { FakeServerRun } from "../../fakes/fake_backend_server.ts";
import { findViolations } from "./guarantee_checks.ts";
import type { SoakCall, SoakRecord } from "./soak_record.ts";

const STREAM = Array.from(
  { length: 20 },
  (_, i) => `id: ${i + 1}\ndata: ${i + 1}\n\n`,
).join("");

describe("findViolations", () => {
  function createCall(call: Partial<SoakCall> = {}): SoakCall {
    return {
      requestId: "r1",
      kind: "lookup",
      daemon: 0,
      key: "key-1",
      sentAtMs: 10_000,
      endedAtMs: 10_100,
      status: 200,
      isComplete: true,
      hasGivenUp: false,
      answeredId: "r1",
      signature: "s1",
      body: "done by s1",
      ...call,
    };
  }

  function createRun(run: Partial<FakeServerRun> = {}): FakeServerRun {
    return {
      requestId: "r1",
      serverId: "s1",
      tenant: "account-1",
      key: undefined,
      isWhole: true,
      hasFormed: true,
      promptParts: [],
      atMs: 10_010,
      zone: "z1",
      ...run,
    };
  }

  function doTest(record: Partial<SoakRecord>): string[] {
    return findViolations({
      calls: [createCall()],
      runs: [createRun()],
      disturbances: [],
      stops: [],
      keyChanges: [],
      accountRemovals: [],
      exclusions: [],
      conflictingJoins: 0,
      ...record,
    });
  }

  const interruptedCall = createCall({
    status: undefined,
    isComplete: false,
    body: "",
  });
  const stop = { daemon: 0, fromMs: 9_000, untilMs: 12_000, exitCode: 0 };
  const removal = { atMs: 5_000, added: "key-2", removed: "key-1" };
  const addition = { atMs: 5_000, added: "key-1", removed: undefined };

  it.each<[string, Partial<SoakRecord>]>([
    ["a complete response", {}],
    ["a complete stream", {
      calls: [createCall({ kind: "stream", body: STREAM })],
    }],
    ["an interrupted response without a planned stop", {
      calls: [interruptedCall],
    }],
    ["a refusal of a request that has not run", {
      calls: [createCall({ status: 503 })],
      runs: [],
    }],
    ["a lookup that ran twice", { runs: [createRun(), createRun()] }],
    ["a request that ran with a removed key within the propagation time", {
      keyChanges: [{ ...removal, atMs: 9_000 }],
    }],
    ["a request that ran with a removed key through a disturbed daemon", {
      keyChanges: [removal],
      disturbances: [{ part: "daemon-0", fromMs: 7_000, untilMs: 8_000 }],
    }],
    ["the rejection of a key while there are no accounts", {
      calls: [createCall({ status: 401 })],
      runs: [],
      keyChanges: [addition],
      accountRemovals: [{ fromMs: 7_000, untilMs: 20_000 }],
    }],
    ["a request that ran just after the accounts were removed", {
      accountRemovals: [{ fromMs: 9_000, untilMs: 20_000 }],
    }],
    ["a call interrupted during a planned stop and a server crash", {
      calls: [interruptedCall],
      stops: [stop],
      disturbances: [
        { part: "plain-servers", fromMs: 9_000, untilMs: 9_500 },
      ],
    }],
    ["a call that its caller aborted during a planned stop", {
      calls: [{ ...interruptedCall, hasGivenUp: true }],
      stops: [stop],
    }],
  ])("allows %s", (_name, record) => {
    expect(doTest(record)).toEqual([]);
  });

  it.each<[string, Partial<SoakRecord>]>([
    ["the response of another request", {
      calls: [createCall({ answeredId: "r2" })],
    }],
    ["a partial response marked as complete", {
      calls: [createCall({ body: "done" })],
    }],
    ["a stream with a missing event", {
      calls: [createCall({ kind: "stream", body: STREAM.slice(20) })],
    }],
    ["a booking that ran twice", {
      calls: [createCall({ kind: "booking" })],
      runs: [createRun(), createRun()],
    }],
    ["a refusal of a request that has run", {
      calls: [createCall({ status: 503 })],
    }],
    ["a run in a group that was never complete", {
      runs: [createRun({ hasFormed: false })],
    }],
    ["a join while the previous group is still serving", {
      conflictingJoins: 1,
    }],
    ["a request that ran with a removed key after the propagation time", {
      keyChanges: [removal],
    }],
    ["a request that ran while there were no accounts", {
      accountRemovals: [{ fromMs: 7_000, untilMs: 20_000 }],
    }],
    ["a status that is none", { calls: [createCall({ status: 0 })] }],
    ["the rejection of a valid key", {
      calls: [createCall({ status: 401 })],
      keyChanges: [addition],
    }],
    ["a request to a draining server", {
      exclusions: [{ serverId: "s1", fromMs: 7_000, untilMs: 20_000 }],
    }],
    ["a request to an excluded zone", {
      exclusions: [{ zone: "z1", fromMs: 4_000, untilMs: 20_000 }],
    }],
    ["a call interrupted by a planned stop", {
      calls: [interruptedCall],
      stops: [stop],
    }],
    ["a lookup interrupted by a planned stop while a model server crashes", {
      calls: [interruptedCall],
      stops: [stop],
      disturbances: [
        { part: "model-servers", fromMs: 9_000, untilMs: 9_500 },
      ],
    }],
    ["a planned stop that ended by SIGKILL", {
      stops: [{ ...stop, exitCode: null }],
    }],
  ])("reports %s", (_name, record) => {
    expect(doTest(record)).toHaveLength(1);
  });
});
