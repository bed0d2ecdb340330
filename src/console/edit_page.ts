import type { SchemaNode } from "../version/schema_node.ts";
import { renderForm } from "./form_renderer.ts";
import { type Html, html } from "./html.ts";

/** Document that the form is filled with, and its version. */
export interface EditedDocument {
  readonly baseVersion: number;
  readonly document: unknown;
}

/**
 * Renders the page with the form of the whole configuration document.
 *
 * @param node - Schema of the document.
 * @param edited - Document that the form is filled with.
 */
export function renderEditPage(node: SchemaNode, edited: EditedDocument): Html {
  return html`<p>The form shows version <b>${edited.baseVersion}</b>. Nothing changes until you accept the document on the next page.
To remove an item, clear its checkbox; to add an item, select its checkbox.</p>
<form method="post" action="/console/preview">
<input type="hidden" name="$baseVersion" value="${edited.baseVersion}">
${renderForm(node, { path: "", name: "", value: edited.document })}
<p><button>Review the changes</button></p>
</form>`;
}
