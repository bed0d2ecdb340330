import type { SchemaNode } from "../version/schema_node.ts";
import { renderForm } from "./form_renderer.ts";
import { type Html, html } from "./html.ts";

/** Document that is shown in the form, and its version. */
export interface EditedDocument {
  readonly baseVersion: number;
  readonly document: unknown;
}

/**
 * Renders the page with the form of the whole configuration document.
 *
 * @param node - Schema of the document.
 * @param editedDocument - Document that is shown in the form.
 */
export function renderEditPage(
  node: SchemaNode,
  editedDocument: EditedDocument,
): Html {
  return html`<p>The form shows version <b>${editedDocument.baseVersion}</b>. Nothing changes until you accept the document on the next page.
To remove an item, clear its checkbox; to add an item, select its checkbox.</p>
<form method="post" action="/console/preview">
<input type="hidden" name="$baseVersion" value="${editedDocument.baseVersion}">
${renderForm(node, { path: "", name: "", value: editedDocument.document })}
<p><button>Review the changes</button></p>
</form>`;
}
