import type { ConfigDifference } from "../version/config_diff.ts";
import type {
  AcceptResult,
  CheckResult,
} from "../version/config_repository.ts";
import type { ConfigFault } from "../version/config_rule.ts";
import { type Html, html } from "./html.ts";
import { renderTable } from "./table.ts";

/** Document of a submitted form, with its base version and the result of its check. */
export interface PreviewedDocument {
  readonly document: unknown;
  readonly baseVersion: number;
  readonly check: CheckResult;
}

/**
 * Renders the changes that a document would make, with a form to accept it.
 *
 * @param preview - Document, the version that it is based on, and the result of its check.
 */
export function renderPreviewPage(preview: PreviewedDocument): Html {
  const { check, baseVersion } = preview;
  if (check.faults.length > 0) {
    return html`
      <p
        class="bad">The document cannot be accepted. Go back and correct these values:</p>
      ${renderFaults(check.faults)}
    `;
  }
  if (check.diff.length === 0) {
    return html`<p>There are no changes.</p>`;
  }
  const isOutdated = check.currentVersion !== baseVersion;
  return html`
    ${isOutdated
      ? html`
        <p
          class="note">Version ${check
            .currentVersion} was accepted after the form was opened, so this document would be refused. Open the form again.</p>
      `
      : undefined}
    ${renderDifferences(check.diff)}
    <form method="post" action="/console/accept">
      <input type="hidden" name="$baseVersion" value="${baseVersion}">
      <input type="hidden" name="$document" value="${JSON.stringify(
        preview.document,
      )}">
      <label><span>Your name</span><input name="$operator"><small>Recorded in the history</small></label>
      <p><button>Accept the document</button></p>
    </form>
    <h2>Document</h2>
    <pre>${JSON.stringify(preview.document, undefined, 2)}</pre>
  `;
}

/**
 * Renders the result of submitting a document.
 *
 * @param result - Result from the configuration repository.
 */
export function renderAcceptResult(result: AcceptResult): Html {
  switch (result.outcome) {
    case "accepted":
      return html`
        <p
          class="good">Accepted as version <b>${result
            .version}</b>; in force on ${result.inForce.join(", ")}.</p>
        ${result.notConfirmed.length > 0
          ? html`<p class="bad">Not confirmed by ${
            result.notConfirmed.join(", ")
          }.</p>`
          : undefined}
      `;
    case "conflict":
      return html`
        <p
          class="bad">Another document was accepted first, as version ${result
            .winner
            .version}. Your document was not applied. Differences between that version and your document:</p>
        ${renderDifferences(result.diff)}
      `;
    case "invalid":
      return html`<p class="bad">The document was refused:</p>${
        renderFaults(result.faults)
      }`;
    case "unavailable":
      return html`<p class="bad">The document was not accepted: ${result.message}. Try again later.</p>`;
    case "unknown":
      return html`
        <p
          class="bad">The outcome is not known: ${result
            .message}. Check the overview before you try again.</p>
      `;
  }
}

/**
 * Renders a table of the differences between two documents.
 *
 * @param differences - Differences with their paths.
 */
export function renderDifferences(
  differences: readonly ConfigDifference[],
): Html {
  return renderTable(
    ["path", "change", "before", "after"],
    differences.map((difference) => [
      difference.path,
      difference.kind,
      JSON.stringify(difference.before) ?? "",
      JSON.stringify(difference.after) ?? "",
    ]),
  );
}

function renderFaults(faults: readonly ConfigFault[]): Html {
  return renderTable(
    ["path", "fault"],
    faults.map((fault) => [fault.path, fault.message]),
  );
}
