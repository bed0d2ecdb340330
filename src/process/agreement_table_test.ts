import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ConfigHolder } from "../version/config_holder.ts";
import { configSchema } from "../version/config_schema.ts";
import { AgreementTable, PREPARED_EXPIRY_MS } from "./agreement_table.ts";

const LIMIT_MS = 3_000;
const NAMES = ["a", "b", "c", "d", "e"];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

interface TableSetup {
  readonly table: AgreementTable;
  readonly configHolder: ConfigHolder;
}

function createTable(ownName: string, version = 1, names = NAMES): TableSetup {
  const configHolder = new ConfigHolder();
  offerVersion(configHolder, version);
  const table = new AgreementTable({
    ownName: ownName,
    limitMs: LIMIT_MS,
    configHolder,
    getListedNames: () => names,
  });
  return { table, configHolder };
}

function offerVersion(configHolder: ConfigHolder, version: number): void {
  const document = configSchema.parse({
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    clientAccounts: [{ name: "a", apiKeySha256: ["0".repeat(64)] }],
    clockSkewMarginMs: version,
  });
  configHolder.offer({ version, document });
}

function mergeReport(target: TableSetup, from: TableSetup): void {
  target.table.mergeReport(from.table.getReport(), performance.now());
}

describe("AgreementTable.hasMajority", () => {
  // Guards against a minority of daemons that serves requests during a store outage.
  it("returns true only when more than half of the listed daemons agree", () => {
    const a = createTable("a");
    mergeReport(a, createTable("b"));
    expect(a.table.hasMajority()).toBe(false);
    mergeReport(a, createTable("c"));
    expect(a.table.hasMajority()).toBe(true);
    vi.advanceTimersByTime(LIMIT_MS + 1);
    expect(a.table.hasMajority()).toBe(false);
  });

  // Guards against an age that decreases when a report is passed on by several daemons.
  it("adds up the ages of a report that is passed on", () => {
    const a = createTable("a");
    const b = createTable("b");
    mergeReport(b, createTable("c"));
    vi.advanceTimersByTime(2_000);
    mergeReport(a, b);
    expect(a.table.countAgreeingDaemons()).toBe(3);
    vi.advanceTimersByTime(1_001);
    expect(a.table.countAgreeingDaemons()).toBe(2);
  });

  // Guards against counting daemons that have another configuration or another list of daemons.
  it.each([
    ["another version", createTable("b", 2), 1],
    ["another list", createTable("b", 1, ["a", "b"]), 1],
    ["the same state", createTable("b"), 2],
  ])(
    "counts the agreeing daemons with a peer that has %s",
    (_name, peer, expected) => {
      const a = createTable("a");
      mergeReport(a, peer);
      expect(a.table.countAgreeingDaemons()).toBe(expected);
    },
  );

  // Guards against a majority for a version while a newer one is known.
  it("returns false while a newer version is known but not in force", () => {
    const a = createTable("a");
    mergeReport(a, createTable("b"));
    mergeReport(a, createTable("c"));
    a.table.recordKnownVersion(2);
    expect(a.table.hasMajority()).toBe(false);
    offerVersion(a.configHolder, 2);
    expect(a.table.isCountedInMajority()).toBe(true);
    expect(a.table.countAgreeingDaemons()).toBe(1);
  });

  // Guards against service with the old version while a prepared version may be accepted.
  it("returns false from a preparation until a later confirmation", () => {
    const a = createTable("a");
    a.table.recordPreparedVersion(2);
    a.table.recordConfirmation(performance.now() + 1);
    expect(a.table.isCountedInMajority()).toBe(false);
    a.table.recordConfirmation(performance.now() + PREPARED_EXPIRY_MS + 1);
    expect(a.table.isCountedInMajority()).toBe(true);
  });
});

describe("AgreementTable.mergeReport", () => {
  // Guards against a process that reads queued responses after a pause and treats them as new.
  it("counts the age from the time of the request, not of the response", () => {
    const a = createTable("a");
    const b = createTable("b");
    const c = createTable("c");
    const requestedAtMs = performance.now();
    const reports = [b.table.getReport(), c.table.getReport()];
    vi.advanceTimersByTime(LIMIT_MS + 1);
    reports.forEach((report) => a.table.mergeReport(report, requestedAtMs));
    expect(a.table.countAgreeingDaemons()).toBe(1);
  });
});
