import type { StatusReport } from "../process/status_report.ts";
import { type Html, html } from "./html.ts";
import { renderTable } from "./table.ts";

/**
 * Renders the status of the zones, models, groups and VMs.
 *
 * @param report - Status of the deployment.
 */
export function renderOverviewPage(report: StatusReport): Html {
  return html`<p>Status reported by <b>${report.daemon}</b> in ${report.zone}:
configuration version <b>${report.configVersion}</b>,
<span class="${
    report.freshness === "fresh" ? "good" : "bad"
  }">${report.freshness}</span>.</p>
<h2>Availability zones</h2>
${
    renderTable(
      [
        "zone",
        "region",
        "in service",
        "entry VMs",
        "backend VMs",
        "complete groups",
        "stranded VMs",
      ],
      report.zones.map((z) => [
        z.name,
        z.region,
        z.inService ? "yes" : "no",
        z.entryVms,
        z.backendVms,
        z.completeGroups,
        z.strandedVms,
      ]),
    )
  }
<h2>Models</h2>
${
    renderTable(
      ["model", "declared groups", "complete groups"],
      report.models.map((m) => [m.name, m.declaredGroups, m.completeGroups]),
    )
  }
<h2>Groups</h2>
${
    renderTable(
      [
        "group",
        "model",
        "zone",
        "generation",
        "phase",
        "health",
        "takes new work",
        "running requests",
        "held tokens",
        "members",
      ],
      report.groups.map((g) => [
        g.groupId,
        g.model,
        g.zone,
        g.generation,
        g.phase,
        g.health,
        g.takesNewWork ? "yes" : "no",
        g.runningRequests,
        g.heldTokens,
        g.members.join(", "),
      ]),
    )
  }
<h2>VMs</h2>
${
    renderTable(
      ["VM", "role", "zone", "fabric domain", "state", "group", "address"],
      report.vms.map((vm) => [
        vm.name,
        vm.role,
        vm.zone,
        vm.fabricDomain ?? "",
        vm.drained ? "drained" : vm.state,
        vm.groupId ?? "",
        vm.address,
      ]),
    )
  }`;
}
