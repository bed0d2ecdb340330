import { formatCanonicalJson } from "./canonical_json.ts";

/** One difference between two documents. */
export interface ConfigDifference {
  /** Path of the value, for example `models[test-model].slotsPerGroup`. */
  readonly path: string;
  readonly kind: "added" | "removed" | "changed";
  readonly before?: unknown;
  readonly after?: unknown;
}

/**
 * Gets the differences between two documents. List items that have a name are matched by it, so that reordering them is not a difference.
 *
 * @param before - Document before the change.
 * @param after - Document after the change.
 * @example
 * ```ts
 * getConfigDiff({ a: 1 }, { a: 2 }); // [{ path: "a", kind: "changed", before: 1, after: 2 }]
 * ```
 */
export function getConfigDiff(
  before: unknown,
  after: unknown,
): ConfigDifference[] {
  const differences: ConfigDifference[] = [];
  collectDifferences(differences, { path: "", before, after });
  return differences;
}

interface Comparison {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

function collectDifferences(
  differences: ConfigDifference[],
  comparison: Comparison,
): void {
  const { path, before, after } = comparison;
  if (
    (before === undefined) === (after === undefined) &&
    formatCanonicalJson(before) === formatCanonicalJson(after)
  ) {
    return;
  }
  if (before === undefined) {
    differences.push({ path, kind: "added", after });
    return;
  }
  if (after === undefined) {
    differences.push({ path, kind: "removed", before });
    return;
  }
  const childComparisons = getChildComparisons(before, after);
  if (childComparisons === undefined) {
    differences.push({ path, kind: "changed", before, after });
    return;
  }
  for (const childComparison of childComparisons) {
    collectDifferences(differences, {
      ...childComparison,
      path: `${path}${childComparison.path}`,
    });
  }
  trimLeadingDots(differences, path);
}

/** Removes the dot with which the paths of top-level keys begin. */
function trimLeadingDots(differences: ConfigDifference[], path: string): void {
  if (path !== "") {
    return;
  }
  differences.forEach((difference, index) => {
    differences[index] = {
      ...difference,
      path: difference.path.replace(/^\./, ""),
    };
  });
}

function getChildComparisons(
  before: unknown,
  after: unknown,
): Comparison[] | undefined {
  if (hasNamedItems(before) && hasNamedItems(after)) {
    return createComparisons(
      getItemsByName(before),
      getItemsByName(after),
      (n) => `[${n}]`,
    );
  }
  if (Array.isArray(before) && Array.isArray(after)) {
    return createComparisons(
      getItemsByIndex(before),
      getItemsByIndex(after),
      (n) => `[${n}]`,
    );
  }
  if (isRecord(before) && isRecord(after)) {
    return createComparisons(
      new Map(Object.entries(before)),
      new Map(Object.entries(after)),
      (n) => `.${n}`,
    );
  }
  return undefined;
}

function createComparisons(
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
  formatKey: (key: string) => string,
): Comparison[] {
  const keys = new Set([...before.keys(), ...after.keys()]);
  return [...keys].map((key) => ({
    path: formatKey(key),
    before: before.get(key),
    after: after.get(key),
  }));
}

function hasNamedItems(
  value: unknown,
): value is (Record<string, unknown> & { name: string })[] {
  return Array.isArray(value) &&
    value.every((item) => isRecord(item) && typeof item.name === "string") &&
    new Set(value.map((item) => item.name)).size === value.length;
}

function getItemsByName(
  items: readonly { name: string }[],
): ReadonlyMap<string, unknown> {
  return new Map(items.map((item) => [item.name, item]));
}

function getItemsByIndex(
  items: readonly unknown[],
): ReadonlyMap<string, unknown> {
  return new Map(items.map((item, index) => [String(index), item]));
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === "object" && !Array.isArray(value);
}
