import type { TimelineEvent } from "../shared/timeline.ts";
import { type Html, html } from "./html.ts";

const CHART_WIDTH = 1_100;
const PLOT_LEFT = 130;
const ROW_HEIGHT = 34;
const PLOT_TOP = 26;
const COLORS = ["#1b6ca8", "#2f855a", "#b7791f", "#9b2c2c", "#6b46c1"];

/**
 * Renders the events as an SVG chart with one row for each process.
 *
 * @param events - Events in causal order.
 */
export function renderTimelineChart(
  events: readonly TimelineEvent[],
): Html {
  const processes = [...new Set(events.map((event) => event.process))].sort();
  const height = PLOT_TOP + processes.length * ROW_HEIGHT + 10;
  const firstMs = Math.min(...events.map((event) => event.timeMs));
  const lastMs = Math.max(...events.map((event) => event.timeMs));
  const pixelsPerMs = (CHART_WIDTH - PLOT_LEFT - 20) /
    Math.max(1, lastMs - firstMs);
  const rows = processes.map((process, row) =>
    renderRow(process, PLOT_TOP + row * ROW_HEIGHT + ROW_HEIGHT / 2)
  );
  const markers = events.map((event) =>
    renderEventMarker(event, {
      x: PLOT_LEFT + (event.timeMs - firstMs) * pixelsPerMs,
      y: PLOT_TOP + processes.indexOf(event.process) * ROW_HEIGHT +
        ROW_HEIGHT / 2,
    })
  );
  return html`<svg viewBox="0 0 ${CHART_WIDTH} ${height}" role="img" aria-label="Timeline">
<text x="${PLOT_LEFT}" y="14">${formatTime(firstMs)}</text>
<text x="${CHART_WIDTH - 20}" y="14" text-anchor="end">${
    formatTime(lastMs)
  }</text>
${rows}
${markers}
</svg>`;
}

function renderRow(process: string, y: number): Html {
  return html`
    <text x="4" y="${y + 4}">${process}</text>
    <line x1="${PLOT_LEFT}" x2="${CHART_WIDTH - 20}" y1="${y}" y2="${y}"
      stroke="#cbd5e0" />
  `;
}

function renderEventMarker(
  event: TimelineEvent,
  position: { x: number; y: number },
): Html {
  return html`
    <circle cx="${position.x.toFixed(1)}" cy="${position
      .y}" r="5" fill="${getColor(event.event)}">
      <title>${formatTime(event.timeMs)} ${event.event} ${JSON.stringify(
        event.fields,
      )}</title>
    </circle>
  `;
}

function getColor(event: string): string {
  if (/failed|refused|lost|stale/.test(event)) {
    return COLORS[3];
  }
  if (/^(config|zone)/.test(event)) {
    return COLORS[2];
  }
  if (/^(group|placement|order|lease)/.test(event)) {
    return COLORS[4];
  }
  return /finished|ready/.test(event) ? COLORS[1] : COLORS[0];
}

function formatTime(timeMs: number): string {
  return Number.isFinite(timeMs)
    ? new Date(timeMs).toISOString().slice(11)
    : "";
}
