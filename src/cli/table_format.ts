const COLUMN_GAP = "  ";

/**
 * Formats rows as lines with aligned columns.
 *
 * @param headings - Heading of each column.
 * @param rows - Cells of each row.
 * @example
 * ```ts
 * formatTable(["zone", "groups"], [["zone-a", 2]]); // ["zone    groups", "zone-a  2"]
 * ```
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string[] {
  const table = [headings, ...rows].map((row) => row.map(String));
  const widths = headings.map((_, column) =>
    Math.max(...table.map((row) => (row[column] ?? "").length))
  );
  return table.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join(COLUMN_GAP)
      .trimEnd()
  );
}
