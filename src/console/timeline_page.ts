import type { CollectedTimeline } from "../process/timeline_collector.ts";
import { type Html, html } from "./html.ts";
import { renderExplanation } from "./request_explanation.ts";
import { renderTable } from "./table.ts";
import { renderTimelineChart } from "./timeline_chart.ts";

/** Maximum number of events on the page. The oldest ones are omitted. */
const MAX_SHOWN_EVENTS = 500;

/**
 * Renders the events of all daemons as a chart and a table.
 *
 * @param timeline - Events in causal order.
 * @param filter - ID of the request whose events `timeline` contains; undefined for all events.
 */
export function renderTimelinePage(
  timeline: CollectedTimeline,
  filter: { requestId?: string },
): Html {
  const events = timeline.events.slice(-MAX_SHOWN_EVENTS);
  return html`
    <form
      method="get"><label><span>Request</span><input name="requestId" value="${filter
        .requestId ??
        ""}"><small>Leave empty for all events</small></label></form>
    ${timeline.missing.length > 0
      ? html`
        <p
          class="note">Events are missing from daemons that did not respond: ${timeline
            .missing.join(", ")}.</p>
      `
      : undefined}
    ${events.length > 0 ? renderTimelineChart(events) : html`<p>No events.</p>`}
    ${renderTable(
      ["time", "process", "event", "request", "what happened"],
      renderExplanation(events).map((step, index) => [
        new Date(step.timeMs).toISOString(),
        step.process,
        events[index].event,
        events[index].requestId ?? "",
        step.sentence,
      ]),
    )}
  `;
}
