import { describe, expect, it } from "vitest";
import { createModelEngines } from "../../tests/support/model_engine.ts";
import { checkConfigRules } from "./config_rules.ts";
import {
  type ConfigDocument,
  configSchema,
  WEEKDAYS,
} from "./config_schema.ts";

const NOW_MS = Date.parse("2026-06-01T00:00:00Z");

function createDocument(): ConfigDocument {
  return configSchema.parse({
    schemaVersion: 1,
    zones: [
      { name: "zone-a", region: "region-1" },
      { name: "zone-b", region: "region-1" },
    ],
    models: [{
      name: "model-1",
      groupSizeVms: 2,
      placements: [{ zones: ["zone-a", "zone-b"], count: 2 }],
      slotsPerGroup: 4,
      kvTokensPerGroup: 1_000,
    }],
    services: [{
      name: "service-1",
      backends: [{ address: "10.0.0.1:80", zone: "zone-a" }],
    }],
    clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
  });
}

const quietHours = (from: string, to: string) => ({
  timeZone: "Asia/Tokyo",
  weekdays: [...WEEKDAYS],
  from,
  to,
});

interface RuleCase {
  name: string;
  change: (document: ConfigDocument) => void;
  paths: string[];
}

const CASES: RuleCase[] = [
  { name: "an unchanged document", change: () => {}, paths: [] },
  {
    name: "an unknown zone",
    change: (d) => d.models[0].placements[0].zones.push("zone-x"),
    paths: ["models.0.placements.0.zones.2"],
  },
  {
    name: "duplicate names",
    change: (d) => {
      d.zones.push(d.zones[0]);
      d.models.push(structuredClone(d.models[0]));
      d.models[1].placements[0].count = 0;
      d.services.push(d.services[0]);
    },
    paths: ["zones.2.name", "models.1.name", "services.1.name"],
  },
  {
    name: "an API key that two accounts share",
    change: (d) =>
      d.clientAccounts.push({ ...d.clientAccounts[0], name: "account-2" }),
    paths: ["clientAccounts.1.apiKeySha256.0"],
  },
  {
    name: "an invalid time zone",
    change: (d) =>
      d.zones[1].quietHours.push({
        ...quietHours("10:00", "11:00"),
        timeZone: "Asia/Nowhere",
      }),
    paths: ["zones.1.quietHours.0.timeZone"],
  },
  {
    name: "an adapter that is listed twice or named like a model",
    change: (d) => d.models[0].adapters = ["a", "a", "model-1"],
    paths: ["models.0.adapters.1", "models.0.adapters.2"],
  },
  {
    name: "a backend server in an unknown zone",
    change: (d) =>
      d.services[0].backends.push({ address: "10.0.0.2:80", zone: "zone-x" }),
    paths: ["services.0.backends.1.zone"],
  },
  {
    name: "groups that do not fit",
    change: (d) => d.models[0].placements[0].count = 4,
    paths: ["models.0.placements"],
  },
  {
    name: "groups of more VMs than a fabric domain has",
    change: (d) => d.models[0].groupSizeVms = 5,
    paths: ["models.0.placements"],
  },
  {
    name: "a removed model",
    change: (d) => d.models = [],
    paths: ["models"],
  },
  {
    name: "a removed model that is confirmed",
    change: (d) => {
      d.models = [];
      d.confirmNoCapacityFor = ["model-1"];
    },
    paths: [],
  },
  {
    name: "one of two zones taken out",
    change: (d) => d.zones[0].takenOut = true,
    paths: [],
  },
  {
    name: "the last zone taken out",
    change: (d) => d.zones.forEach((z) => z.takenOut = true),
    paths: ["models.0.placements"],
  },
  {
    name: "quiet hours of two zones that do not overlap",
    change: (d) => {
      d.zones[0].quietHours.push(quietHours("01:00", "02:00"));
      d.zones[1].quietHours.push(quietHours("03:00", "04:00"));
    },
    paths: [],
  },
  {
    name: "quiet hours of two zones that overlap within the clock-skew margins",
    change: (d) => {
      d.zones[0].quietHours.push(quietHours("01:00", "02:00"));
      d.zones[1].quietHours.push(quietHours("02:00", "03:00"));
    },
    paths: ["models.0.placements"],
  },
  {
    name: "quiet hours of the last zone in service",
    change: (d) => {
      d.zones[0].takenOut = true;
      d.zones[1].quietHours.push(quietHours("23:00", "01:00"));
    },
    paths: ["models.0.placements"],
  },
];

describe("checkConfigRules", () => {
  const vms = [
    ...createModelEngines([
      { name: "rack-1", zone: "zone-a", vms: 4 },
      { name: "rack-2", zone: "zone-b", vms: 3 },
    ], { loadSteps: 0 }).values(),
  ].map((engine) => engine.vm);

  for (const { name, change, paths } of CASES) {
    // Guards against accepting a document that cannot take effect or that takes away a model's last capacity without confirmation, and against refusing valid documents.
    it(`reports the expected faults of ${name}`, () => {
      const current = createDocument();
      const document = createDocument();
      change(document);
      const faults = checkConfigRules({
        current,
        document,
        vms,
        nowMs: NOW_MS,
      });
      expect(faults.map((f) => f.path)).toEqual(paths);
      faults.forEach((f) => expect(f.message).toMatch(/^[A-Z].*\.$/));
    });
  }

  // Guards against refusing to take a zone out of service because VMs are missing for groups that were accepted earlier.
  it("accepts taking a zone out of service while accepted groups no longer fit", () => {
    const current = createDocument();
    const document = createDocument();
    document.zones[0].takenOut = true;
    expect(checkConfigRules({ current, document, vms: [], nowMs: NOW_MS }))
      .toEqual([]);
  });

  // Guards against refusing the first document because its models have no capacity, although it removes none.
  it("accepts a first document without capacity", () => {
    const document = createDocument();
    document.models[0].placements[0].count = 0;
    expect(checkConfigRules({ document, nowMs: NOW_MS })).toEqual([]);
  });
});
