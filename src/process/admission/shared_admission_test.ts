import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { delay } from "../../shared/delay.ts";
import { ConfigHolder } from "../../version/config_holder.ts";
import { configSchema } from "../../version/config_schema.ts";
import { PlacementHolder } from "../../version/placement_holder.ts";
import type { AdmissionRequest, Grant } from "../admission.ts";
import { GroupDirectory } from "../group_directory.ts";
import { type GroupHealth, GroupHealthTable } from "../group_health.ts";
import { VmTable } from "../vm_table.ts";
import { listHomes } from "./home_selection.ts";
import type { LoanBatch } from "./loan_messages.ts";
import { SharedAdmission } from "./shared_admission.ts";

const GROUP_ID = "rack-1-1";
const SLOTS = 2;
const HOLD_DOWN_MS = 1_000;

describe("SharedAdmission", () => {
  let abort: AbortController;

  beforeEach(() => {
    vi.useFakeTimers();
    abort = new AbortController();
  });

  afterEach(async () => {
    abort.abort();
    await vi.advanceTimersByTimeAsync(10);
    vi.useRealTimers();
  });

  const document = configSchema.parse({
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    models: [{
      name: "model-1",
      groupSizeVms: 1,
      placements: [{ zones: ["zone-a"], count: 1 }],
      slotsPerGroup: SLOTS,
      kvTokensPerGroup: 1_000,
      coldSlots: 1,
    }],
    clientAccounts: [{
      name: "account-1",
      apiKeySha256: ["0".repeat(64)],
      maxConcurrent: 4,
    }, {
      name: "large",
      apiKeySha256: ["1".repeat(64)],
      maxConcurrent: 10_000,
    }],
  });

  /** Starts one daemon. Without peers it owns the whole group; with peers, which do not respond, it owns no confirmed share. */
  async function startAdmission(options: { peers?: string[] } = {}) {
    const configHolder = new ConfigHolder();
    configHolder.offer({ version: 1, document });
    const placementHolder = new PlacementHolder();
    placementHolder.offer({
      objectVersion: 1,
      placement: {
        fabricDomain: "rack-1",
        zone: "zone-a",
        lastGeneration: 1,
        groupByVm: { "gpu-1": GROUP_ID },
        groups: {
          [GROUP_ID]: {
            groupId: GROUP_ID,
            model: "model-1",
            modelVersion: "1",
            zone: "zone-a",
            fabricDomain: "rack-1",
            generation: 1,
            phase: "serving",
            leader: "gpu-1",
            sizeVms: 1,
          },
        },
      },
    });
    const vmTable = new VmTable();
    const entries = ["entry-1", ...options.peers ?? []].map((name) => ({
      name,
      role: "entry" as const,
      address: "127.0.0.1:1",
      zone: "zone-a",
      state: "live" as const,
    }));
    vmTable.replace([{
      name: "gpu-1",
      role: "backend",
      address: "127.0.0.1:2",
      zone: "zone-a",
      fabricDomain: "rack-1",
      state: "live",
    }, ...entries]);
    const healthTable = new GroupHealthTable();
    const health: GroupHealth = {
      groupId: GROUP_ID,
      generation: 1,
      state: "ready",
      bootId: "boot-1",
      observer: "entry-1",
      sequence: 1,
      ageMs: 0,
      runningRequests: 0,
      heldTokens: 0,
      maxTokens: 1_000,
    };
    const state = { health };
    const sentBatches: { peer: string; batch: LoanBatch }[] = [];
    const admission = new SharedAdmission({
      name: "entry-1",
      zone: "zone-a",
      vmListLagMs: HOLD_DOWN_MS / 2 - 100,
      vmListIntervalMs: 50,
      longestRequestMs: 60_000,
      directory: new GroupDirectory({
        configHolder,
        placementHolder,
        healthTable,
        vmTable,
        zonePolicy: {
          takesNewWork: () => true,
          getNextChange: () => undefined,
        },
        freshness: { getState: () => "fresh" },
      }),
      configHolder,
      placementHolder,
      healthTable,
      vmTable,
      channel: {
        sendLoans: (peer, batch) => {
          sentBatches.push({ peer, batch });
          return Promise.reject(new Error("No response"));
        },
        sendSettlement: () => Promise.reject(new Error("No response")),
      },
      signal: abort.signal,
    });
    void offerHealth();
    void admission.run();
    await vi.advanceTimersByTimeAsync(2 * HOLD_DOWN_MS);
    return { admission, state, sentBatches };

    async function offerHealth(): Promise<void> {
      do {
        healthTable.offer(state.health);
      } while (await delay(20, abort.signal));
    }
  }

  function createRequest(
    request: Partial<AdmissionRequest> = {},
  ): AdmissionRequest {
    return {
      requestId: "request-1",
      model: document.models[0],
      account: document.clientAccounts[1],
      kvTokens: 10,
      prefixHash: 0,
      deadlineAtMs: performance.now() + 5_000,
      excludedGroupIds: new Set(),
      alone: false,
      ...request,
    };
  }

  type AdmissionFixture = Awaited<ReturnType<typeof startAdmission>>;

  async function acquireGrant(
    { admission }: AdmissionFixture,
    request: Partial<AdmissionRequest> = {},
  ): Promise<Grant> {
    const outcome = await admission.acquire(
      createRequest(request),
      abort.signal,
    );
    return outcome.unsafeCoerce();
  }

  /** Gets the refusal code of a request, "granted", or "waiting" when the request is still queued after 100 ms. */
  async function getOutcome(
    { admission }: AdmissionFixture,
    request: Partial<AdmissionRequest> = {},
  ): Promise<string> {
    let code = "waiting";
    void admission.acquire(createRequest(request), abort.signal).then((o) => {
      code = o.caseOf({ Left: (e) => e.code, Right: () => "granted" });
    });
    await vi.advanceTimersByTimeAsync(100);
    return code;
  }

  // Guards against an account that exceeds its concurrency limit, and against finished requests that still count towards it.
  it("refuses requests beyond the concurrency limit of an account", async () => {
    const fixture = await startAdmission();
    const account = document.clientAccounts[0];
    const grants = [
      await acquireGrant(fixture, { account }),
      await acquireGrant(fixture, { account }),
    ];
    expect(await getOutcome(fixture, { account })).toBe("waiting");
    expect(await getOutcome(fixture, { account })).toBe("waiting");
    expect(await getOutcome(fixture, { account })).toBe("account-limit");
    grants.forEach((g) => g.release("finished"));
    expect(await getOutcome(fixture, { account })).not.toBe("account-limit");
  });

  // Guards against requests that are queued although they cannot start before their deadline, or that are accepted after it.
  it("refuses a request whose expected wait exceeds its deadline", async () => {
    const fixture = await startAdmission();
    const firstGrant = await acquireGrant(fixture);
    await vi.advanceTimersByTimeAsync(2_000);
    firstGrant.release("finished");
    await acquireGrant(fixture);
    await acquireGrant(fixture);
    expect(await getOutcome(fixture)).toBe("waiting");
    const deadlineAtMs = performance.now() + 500;
    expect(await getOutcome(fixture, { deadlineAtMs })).toBe(
      "deadline-exceeded",
    );
    expect(await getOutcome(fixture, { deadlineAtMs: performance.now() }))
      .toBe("deadline-exceeded");
  });

  // Guards against a request that stays queued after its deadline.
  it("refuses a waiting request at its deadline", async () => {
    const fixture = await startAdmission();
    await acquireGrant(fixture);
    await acquireGrant(fixture);
    const deadlineAtMs = performance.now() + 90;
    expect(await getOutcome(fixture, { deadlineAtMs })).toBe(
      "deadline-exceeded",
    );
  });

  // Guards against a queue that grows without bound.
  it("refuses a request when the queue is full", async () => {
    const fixture = await startAdmission();
    await acquireGrant(fixture);
    await acquireGrant(fixture);
    const deadlineAtMs = performance.now() + 1_000_000;
    for (let index = 0; index < 1_024; index++) {
      const request = createRequest({ deadlineAtMs });
      void fixture.admission.acquire(request, abort.signal);
    }
    expect(await getOutcome(fixture, { deadlineAtMs })).toBe("no-capacity");
  });

  // Guards against a request that may crash its group while other requests run there, whichever of them started first.
  it("runs a request that has to run alone only on an empty group", async () => {
    const fixture = await startAdmission();
    const otherGrant = await acquireGrant(fixture);
    expect(await getOutcome(fixture, { alone: true })).toBe(
      "no-capacity",
    );
    otherGrant.release("finished");
    const exclusiveGrant = await acquireGrant(fixture, { alone: true });
    expect(await getOutcome(fixture)).toBe("waiting");
    exclusiveGrant.release("finished");
    expect(fixture.admission.ledger.getUsedCapacity(GROUP_ID).slots).toBe(1);
  });

  // Guards against a first home that exceeds the warm-up limit of a group that has turned cold.
  it("admits only the cold slots on a cold group", async () => {
    const fixture = await startAdmission();
    fixture.state.health = { ...fixture.state.health, state: "cold" };
    await vi.advanceTimersByTimeAsync(50);
    expect(await getOutcome(fixture)).toBe("granted");
    expect(await getOutcome(fixture)).toBe("waiting");
  });

  // Guards against new requests on a group that reports more load than its capacity, in which case the shares are wrong.
  it.each([
    { runningRequests: SLOTS + 1 },
    { heldTokens: 1_001 },
  ])("admits nothing on a group that reports %o", async (report) => {
    const fixture = await startAdmission();
    fixture.state.health = { ...fixture.state.health, ...report };
    await vi.advanceTimersByTimeAsync(50);
    expect(await getOutcome(fixture)).toBe("no-capacity");
  });

  // Guards against new requests on a group that has just failed, before newer health was received.
  it("admits nothing on a failed group until newer health is received", async () => {
    const fixture = await startAdmission();
    const grant = await acquireGrant(fixture);
    fixture.state.health = { ...fixture.state.health, ageMs: 1_000 };
    grant.release("group-failed");
    expect(await getOutcome(fixture)).toBe("no-capacity");
  });

  // Guards against shares that are used although a listed peer has not responded to the settlement request, and against loans of a cold group from another home than the first.
  it("requests loans of a cold group only from the first home", async () => {
    const peers = ["entry-2", "entry-3", "entry-4", "entry-5"];
    const fixture = await startAdmission({ peers });
    fixture.state.health = { ...fixture.state.health, state: "cold" };
    await vi.advanceTimersByTimeAsync(50);
    expect(await getOutcome(fixture)).toBe("waiting");
    const homes = listHomes(
      { groupId: GROUP_ID, zone: "zone-a" },
      ["entry-1", ...peers].map((name) => ({ name, zone: "zone-a" })),
    );
    expect(homes[0]).not.toBe("entry-1");
    expect(homes.length).toBeGreaterThan(2);
    const lenders = new Set(
      fixture.sentBatches.filter((a) => a.batch.borrows.length > 0).map((a) =>
        a.peer
      ),
    );
    expect([...lenders]).toEqual([homes[0]]);
  });
});
