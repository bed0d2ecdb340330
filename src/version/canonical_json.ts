import { createHash } from "node:crypto";

/**
 * Formats a JSON value with sorted keys and without whitespace, so that equal values give equal texts.
 *
 * @param value - JSON value.
 * @example
 * ```ts
 * formatCanonicalJson({ b: 1, a: [2] }); // '{"a":[2],"b":1}'
 * ```
 */
export function formatCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(formatCanonicalJson).join(",")}]`;
  }
  if (value === null || typeof value !== "object") {
    return JSON.stringify(value) ?? "null";
  }
  const members = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(([a], [b]) => a < b ? -1 : a > b ? 1 : 0)
    .map(([key, item]) =>
      `${JSON.stringify(key)}:${formatCanonicalJson(item)}`
    );
  return `{${members.join(",")}}`;
}

/**
 * Gets the SHA-256 digest of a value's canonical JSON, in hexadecimal.
 *
 * @param value - JSON value.
 * @example
 * ```ts
 * const digest = getCanonicalDigest(document);
 * ```
 */
export function getCanonicalDigest(value: unknown): string {
  return createHash("sha256").update(formatCanonicalJson(value)).digest("hex");
}
