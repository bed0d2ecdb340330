import type { SchemaNode } from "../version/schema_node.ts";
import { renderForm } from "./form_renderer.ts";
import { type Html, html } from "./html.ts";

/** Document that the form starts from. */
export interface EditedDocument {
  readonly baseVersion: number;
  readonly document: unknown;
}

/**
 * Renders the form of the whole document.
 *
 * @param node - Schema of the document.
 * @param edited - Document that the form starts from.
 */
export function renderEditPage(node: SchemaNode, edited: EditedDocument): Html {
  return html`<p>The form shows version <b>${edited.baseVersion}</b>. Nothing changes before the next page is accepted.
Clear a mark to remove an item; set one to add an item.</p>
<form method="post" action="/console/preview">
<input type="hidden" name="$baseVersion" value="${edited.baseVersion}">
${renderForm(node, { path: "", name: "", value: edited.document })}
<p><button>Review the changes</button></p>
</form>`;
}
