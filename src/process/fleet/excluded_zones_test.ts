import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createVersion } from "../../connection/object_store.ts";
import { NullLogger } from "../../shared/logger.ts";
import { ExcludedZones } from "./excluded_zones.ts";

describe("ExcludedZones", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createZones(): ExcludedZones {
    return new ExcludedZones({ logger: new NullLogger(), onChange: () => {} });
  }

  function apply(
    excludedZones: ExcludedZones,
    options: { generation: number; revision: number; zones: string[] },
  ): void {
    const { zones } = options;
    excludedZones.applyNotice({ revision: createVersion(options), zones }, "");
  }

  function list(excludedZones: ExcludedZones): string[] {
    return [...excludedZones.getZones()].sort();
  }

  describe("applyNotice", () => {
    // Guards against an exclusion of the seconds that a restored store has lost, which lapses until the operator has written it again.
    it("keeps a zone excluded that a restored store does not contain, until it is written again", () => {
      const zones = createZones();
      apply(zones, { generation: 1, revision: 20, zones: ["a"] });
      apply(zones, { generation: 2, revision: 10, zones: [] });
      vi.advanceTimersByTime(5_000);
      expect(list(zones)).toEqual(["a"]);
      apply(zones, { generation: 2, revision: 11, zones: ["a"] });
      vi.advanceTimersByTime(20_000);
      expect(list(zones)).toEqual(["a"]);
      apply(zones, { generation: 2, revision: 12, zones: [] });
      expect(list(zones)).toEqual([]);
    });

    // Guards against a zone that stays out of service for ever because its exclusion was lost and is not written again.
    it("uses a zone again that is not excluded again after a restore", () => {
      const zones = createZones();
      apply(zones, { generation: 1, revision: 20, zones: ["a"] });
      apply(zones, { generation: 2, revision: 10, zones: [] });
      vi.advanceTimersByTime(20_000);
      expect(list(zones)).toEqual([]);
    });

    // Guards against a peer that brings the lost state of the zones back.
    it("ignores a notice of an earlier generation", () => {
      const zones = createZones();
      apply(zones, { generation: 2, revision: 10, zones: ["b"] });
      apply(zones, { generation: 1, revision: 20, zones: ["a"] });
      expect(list(zones)).toEqual(["b"]);
    });

    it("uses a zone again at once when its exclusion is removed without a restore", () => {
      const zones = createZones();
      apply(zones, { generation: 1, revision: 20, zones: ["a"] });
      apply(zones, { generation: 1, revision: 21, zones: [] });
      expect(list(zones)).toEqual([]);
    });
  });

  describe("getNotice", () => {
    // Guards against peers that prolong the grace period for one another.
    it("contains only the zones that the store contains", () => {
      const zones = createZones();
      apply(zones, { generation: 1, revision: 20, zones: ["a"] });
      apply(zones, { generation: 2, revision: 10, zones: [] });
      expect(zones.getNotice().zones).toEqual([]);
    });
  });
});
