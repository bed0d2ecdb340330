import { type Html, html } from "./html.ts";

/** Value of a table cell. */
export type TableCell = string | number;

/**
 * Renders a table.
 *
 * @param headings - Heading of each column.
 * @param rows - Cells of each row.
 */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly TableCell[])[],
): Html {
  const head = headings.map((heading) => html`<th>${heading}</th>`);
  const body = rows.map((row) =>
    html`<tr>${row.map((cell) => html`<td>${cell}</td>`)}</tr>`
  );
  return html`
    <table>
      <thead>
        <tr>${head}</tr>
      </thead>
      <tbody>${body}</tbody>
    </table>
  `;
}
