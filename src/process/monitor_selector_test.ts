import { describe, expect, it } from "vitest";
import type { Vm } from "../connection/vm_directory.ts";
import { MonitorSelector } from "./monitor_selector.ts";
import { VmTable } from "./vm_table.ts";

describe("MonitorSelector", () => {
  const entryVms = Array.from({ length: 7 }, (_, index): Vm => ({
    name: `entry-${index + 1}`,
    role: "entry",
    address: `10.0.0.${index + 1}:80`,
    zone: "zone-a",
    state: "live",
  }));
  const vmTable = new VmTable();
  const selectors = entryVms.map((vm) =>
    new MonitorSelector({ name: vm.name, vmTable, fullObservationDaemons: 0 })
  );
  const groups = Array.from({ length: 50 }, (_, index) => ({
    groupId: `group-${index}`,
    zone: "zone-a",
  }));

  describe("isMonitor", () => {
    // Guards against a group without a monitor, and against a number of status requests that grows with the number of daemons.
    it("chooses two daemons for each group", () => {
      vmTable.replace(entryVms);
      for (const group of groups) {
        expect(selectors.filter((s) => s.isMonitor(group)).length).toBe(2);
      }
    });

    // Guards against a later detection of lost members in small deployments, where every daemon is a monitor.
    it("chooses every daemon up to the configured number", () => {
      vmTable.replace(entryVms);
      const selector = new MonitorSelector({
        name: "entry-1",
        vmTable,
        fullObservationDaemons: entryVms.length,
      });
      expect(groups.every((g) => selector.isMonitor(g))).toBe(true);
    });

    // Guards against a change of all monitors when one daemon leaves.
    it("keeps the remaining monitors when a daemon leaves", () => {
      vmTable.replace(entryVms);
      const monitorsBefore = groups.map((g) => selectors[0].getMonitors(g));
      vmTable.replace([
        { ...entryVms[0], state: "leaving" },
        ...entryVms.slice(1),
      ]);
      groups.forEach((group, index) => {
        const remaining = monitorsBefore[index].filter((name) =>
          name !== "entry-1"
        );
        expect(selectors[0].getMonitors(group))
          .toEqual(expect.arrayContaining(remaining));
        expect(selectors[0].isMonitor(group)).toBe(false);
      });
    });
  });
});
