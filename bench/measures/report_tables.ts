import type { LoadSummary } from "../load/load_summary.ts";
import type { PolicyResult } from "./measure_result.ts";

const BYTES_PER_MIB = 1_048_576;

/** Table of a report. */
export interface ReportTable {
  readonly title: string;
  readonly header: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** Result of one value of a constant in a sweep. */
export interface SweepResult {
  readonly constant: string;
  readonly value: number;
  readonly result: PolicyResult;
}

/**
 * Creates the tables that compare policy and baseline for a profile. The gain is the baseline's cost divided by the policy's.
 *
 * @param policy - Result of the policy.
 * @param baseline - Result of the baseline.
 */
export function createTables(
  policy: PolicyResult,
  baseline: PolicyResult,
): ReportTable[] {
  return [
    ...createDowntimeTables(policy, baseline),
    ...createZoneTables(policy, baseline),
    ...createMemoryTables(policy, baseline),
  ];
}

function createDowntimeTables(
  policy: PolicyResult,
  baseline: PolicyResult,
): ReportTable[] {
  if (policy.downtime === undefined || baseline.downtime === undefined) {
    return [];
  }
  const [policyResult, baselineResult] = [policy.downtime, baseline.downtime];
  const lossRows = policyResult.losses.flatMap((loss, index) => {
    const baselineLoss = baselineResult.losses[index];
    return [
      [
        `${index + 1}: ${loss.kind}, groups complete again (ms)`,
        formatDowntime(loss.downtime),
        formatDowntime(baselineLoss.downtime),
        formatGain(loss.downtime.durationMs, baselineLoss.downtime.durationMs),
      ],
      [
        `${index + 1}: ${loss.kind}, next request served (ms)`,
        formatMs(loss.nextServedMs),
        formatMs(baselineLoss.nextServedMs),
        formatGain(loss.nextServedMs ?? NaN, baselineLoss.nextServedMs ?? NaN),
      ],
    ];
  });
  const header = ["", "policy", "baseline", "gain"];
  return [
    {
      title: `${policy.profile}: group downtime`,
      header,
      rows: [
        ...lossRows,
        createRow("crashes that the benchmark did not inject", [
          policyResult.otherCrashes,
          baselineResult.otherCrashes,
        ]),
      ],
    },
    {
      title: `${policy.profile}: stranded accelerators (VM-seconds)`,
      header,
      rows: [
        createRow("outside a complete group", [
          policyResult.strandedVmSeconds,
          baselineResult.strandedVmSeconds,
        ]),
        createRow("of these, beyond the VMs that no group needs", [
          policyResult.excessVmSeconds,
          baselineResult.excessVmSeconds,
        ]),
      ],
    },
    createServiceTable(`${policy.profile}: service during the losses`, [
      { name: "policy", summary: policyResult.service.summary },
      { name: "baseline", summary: baselineResult.service.summary },
    ]),
  ];
}

function createZoneTables(
  policy: PolicyResult,
  baseline: PolicyResult,
): ReportTable[] {
  if (policy.zone === undefined || baseline.zone === undefined) {
    return [];
  }
  const [policyResult, baselineResult] = [policy.zone, baseline.zone];
  const entries = policyResult.phases.flatMap(({ phase, summary }, index) => [
    { name: `${phase}, policy`, summary },
    {
      name: `${phase}, baseline`,
      summary: baselineResult.phases[index].summary,
    },
  ]);
  return [
    createServiceTable(
      `${policy.profile}: service while a zone leaves and returns`,
      entries,
    ),
    {
      title: `${policy.profile}: gain while a zone leaves and returns`,
      header: ["", "policy", "baseline", "gain"],
      rows: [
        ...policyResult.phases.map(({ phase, summary }, index) =>
          createRow(
            `${phase}: requests without a complete response before the deadline (%)`,
            [
              (1 - summary.wholeShare) * 100,
              (1 - baselineResult.phases[index].summary.wholeShare) * 100,
            ],
          )
        ),
        createRow("crashes that the benchmark did not inject", [
          policyResult.otherCrashes,
          baselineResult.otherCrashes,
        ]),
      ],
    },
  ];
}

function createMemoryTables(
  policy: PolicyResult,
  baseline: PolicyResult,
): ReportTable[] {
  if (policy.memory === undefined || baseline.memory === undefined) {
    return [];
  }
  const [policyResult, baselineResult] = [policy.memory, baseline.memory];
  return [{
    title: `${policy.profile}: memory held for slow readers`,
    header: ["", "policy", "baseline", "gain"],
    rows: [
      createRow("peak of the held bytes that the daemon counts (MiB)", [
        policyResult.peakHeldBytes / BYTES_PER_MIB,
        baselineResult.peakHeldBytes / BYTES_PER_MIB,
      ]),
      createRow("peak growth of the resident set (MiB)", [
        policyResult.peakResidentGrowthBytes / BYTES_PER_MIB,
        baselineResult.peakResidentGrowthBytes / BYTES_PER_MIB,
      ]),
      [
        "parked / closed streams",
        `${policyResult.parked} / ${policyResult.closed}`,
        `${baselineResult.parked} / ${baselineResult.closed}`,
        "",
      ],
      [
        "data that the readers received (MiB)",
        formatNumber(policyResult.readBytes / BYTES_PER_MIB),
        formatNumber(baselineResult.readBytes / BYTES_PER_MIB),
        "",
      ],
    ],
  }];
}

function createServiceTable(
  title: string,
  entries: readonly { name: string; summary: LoadSummary }[],
): ReportTable {
  return {
    title,
    header: [
      ...["", "requests", "whole", "late", "refused", "cut", "wrong"],
      ...["other", "first token p50/p95/p99 ms", "between tokens p50/p95/p99"],
    ],
    rows: entries.map(({ name, summary }) => {
      const { outcomes, requests } = summary;
      const formatShare = (count: number) =>
        `${(count / Math.max(1, requests) * 100).toFixed(1)} %`;
      return [
        name,
        String(requests),
        formatShare(outcomes.whole),
        formatShare(outcomes.late),
        formatShare(outcomes.refused),
        formatShare(outcomes.cut),
        formatShare(outcomes.wrong),
        formatShare(outcomes.uncertain + outcomes.unanswered),
        formatQuantiles(summary.firstTokenMs),
        formatQuantiles(summary.betweenTokensMs),
      ];
    }),
  };
}

/**
 * Creates the table with the results of the sweeps.
 *
 * @param results - One result for each value.
 */
export function createSweepTable(
  results: readonly SweepResult[],
): ReportTable {
  return {
    title: "Sweeps of policy constants",
    header: ["constant", "value", "results"],
    rows: results.map(({ constant, value, result }) => [
      constant,
      String(value),
      formatSweepResult(result),
    ]),
  };
}

function formatSweepResult(result: PolicyResult): string {
  const parts: string[] = [];
  const { downtime, zone, memory } = result;
  if (downtime !== undefined) {
    const times = downtime.losses.map((l) => formatDowntime(l.downtime));
    const { summary } = downtime.service;
    parts.push(
      `downtime ms ${times.join(", ")}`,
      `excess VM-s ${formatNumber(downtime.excessVmSeconds)}`,
      `other crashes ${downtime.otherCrashes}`,
      `whole ${(summary.wholeShare * 100).toFixed(1)} %`,
      `first token ${formatQuantiles(summary.firstTokenMs)}`,
    );
  }
  if (zone !== undefined) {
    const shares = zone.phases.map(({ phase, summary }) =>
      `${phase} ${(summary.wholeShare * 100).toFixed(1)} %`
    );
    parts.push(`whole ${shares.join(", ")}`);
    parts.push(`other crashes ${zone.otherCrashes}`);
  }
  if (memory !== undefined) {
    parts.push(
      `peak held MiB ${formatNumber(memory.peakHeldBytes / BYTES_PER_MIB)}`,
      `peak resident growth MiB ${
        formatNumber(memory.peakResidentGrowthBytes / BYTES_PER_MIB)
      }`,
      `parked ${memory.parked}`,
    );
  }
  return parts.join("; ");
}

/**
 * Formats a table as Markdown.
 *
 * @param table - Table to format.
 */
export function formatTable(table: ReportTable): string {
  const lines = [table.header, table.header.map(() => "---"), ...table.rows]
    .map((row) => `| ${row.join(" | ")} |`);
  return `### ${table.title}\n\n${lines.join("\n")}\n`;
}

function createRow(name: string, values: readonly [number, number]): string[] {
  return [
    name,
    formatNumber(values[0]),
    formatNumber(values[1]),
    formatGain(values[0], values[1]),
  ];
}

/**
 * Formats the cost of the baseline divided by the cost of the policy.
 *
 * @param policy - Cost of the policy.
 * @param baseline - Cost of the baseline.
 */
export function formatGain(policy: number, baseline: number): string {
  if (Number.isNaN(policy) || Number.isNaN(baseline)) {
    return "not measured";
  }
  if (policy === 0) {
    return baseline === 0 ? "both 0" : "policy 0";
  }
  return `${(baseline / policy).toFixed(2)}`;
}

function formatDowntime(downtime: {
  durationMs: number;
  restored: boolean;
  observed: boolean;
}): string {
  if (!downtime.observed) {
    return "not observed";
  }
  const ms = downtime.durationMs.toFixed(0);
  return downtime.restored ? ms : `> ${ms}`;
}

function formatMs(ms: number | undefined): string {
  return ms === undefined ? "none" : ms.toFixed(0);
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(2);
}

function formatQuantiles(
  quantiles: { p50: number; p95: number; p99: number },
): string {
  return `${quantiles.p50.toFixed(0)} / ${quantiles.p95.toFixed(0)} / ${
    quantiles.p99.toFixed(0)
  }`;
}
