import escapeHtml from "escape-html";
import type { PolicyResult } from "./measure_result.ts";
import type { ReportTable } from "./report_tables.ts";

const WIDTH = 640;
const HEIGHT = 160;
const MARGIN = 40;
const COLORS = ["#1f6fb4", "#c0392b", "#2e8b57", "#b8860b"];

interface PlotSeries {
  readonly name: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
}

/**
 * Renders the report as one HTML page without scripts.
 *
 * @param options - Heading, tables and results.
 */
export function renderReport(options: {
  heading: string;
  tables: readonly ReportTable[];
  results: readonly PolicyResult[];
}): string {
  const profiles = [...new Set(options.results.map((r) => r.profile))];
  const plots = profiles.flatMap((profile) =>
    renderPlots(profile, options.results.filter((r) => r.profile === profile))
  );
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Benchmark report</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin-bottom:1.5em}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}</style>
</head><body><h1>Benchmark report</h1><p>${escapeHtml(options.heading)}</p>
${options.tables.map(renderTable).join("\n")}
${plots.join("\n")}
</body></html>
`;
}

function renderTable(table: ReportTable): string {
  const head = table.header.map((cell) => `<th>${escapeHtml(cell)}</th>`);
  const rows = table.rows.map((row) =>
    `<tr>${row.map((cell) => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`
  );
  return `<h2>${escapeHtml(table.title)}</h2><table><tr>${head.join("")}</tr>${
    rows.join("")
  }</table>`;
}

function renderPlots(
  profile: string,
  results: readonly PolicyResult[],
): string[] {
  return [
    renderPlot(
      `${profile}: complete groups during the losses`,
      results.map((r) => ({
        name: r.policy,
        points: (r.downtime?.samples ?? [])
          .map((s) => ({ x: s.atMs, y: s.completeGroups })),
      })),
    ),
    renderPlot(
      `${profile}: complete groups while a zone leaves and returns`,
      results.map((r) => ({
        name: r.policy,
        points: (r.zone?.samples ?? [])
          .map((s) => ({ x: s.atMs, y: s.completeGroups })),
      })),
    ),
    renderPlot(
      `${profile}: memory for slow readers in MiB`,
      results.flatMap((r) => {
        const samples = r.memory?.samples ?? [];
        return [
          {
            name: `${r.policy}, counted as held`,
            points: samples.map((s) => ({
              x: s.atMs,
              y: s.heldBytes / 1_048_576,
            })),
          },
          {
            name: `${r.policy}, growth of the resident set`,
            points: samples.map((s) => ({
              x: s.atMs,
              y: s.residentGrowthBytes / 1_048_576,
            })),
          },
        ];
      }),
    ),
  ];
}

function renderPlot(title: string, series: readonly PlotSeries[]): string {
  const points = series.flatMap((s) => s.points);
  if (points.length === 0) {
    return "";
  }
  const maxX = Math.max(...points.map((p) => p.x), 1);
  const maxY = Math.max(...points.map((p) => p.y), 1);
  const lines = series.map((s, index) => {
    const path = s.points.map(({ x, y }) =>
      `${(MARGIN + x / maxX * WIDTH).toFixed(1)},${
        (MARGIN + HEIGHT - Math.max(0, y) / maxY * HEIGHT).toFixed(1)
      }`
    ).join(" ");
    return `<polyline fill="none" stroke="${
      COLORS[index]
    }" points="${path}"/><text x="${MARGIN + index * 170}" y="${
      MARGIN + HEIGHT + 32
    }" fill="${COLORS[index]}" font-size="11">${escapeHtml(s.name)}</text>`;
  });
  return `<h2>${escapeHtml(title)}</h2>
<svg width="${WIDTH + 2 * MARGIN}" height="${HEIGHT + 2 * MARGIN}">
<rect x="${MARGIN}" y="${MARGIN}" width="${WIDTH}" height="${HEIGHT}" fill="none" stroke="#999"/>
<text x="2" y="${MARGIN + 4}" font-size="11">${maxY.toFixed(1)}</text>
<text x="2" y="${MARGIN + HEIGHT}" font-size="11">0</text>
<text x="${MARGIN + WIDTH - 30}" y="${MARGIN + HEIGHT + 16}" font-size="11">${
    (maxX / 1_000).toFixed(0)
  } s</text>
${lines.join("\n")}
</svg>`;
}
