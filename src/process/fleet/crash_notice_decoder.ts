import type {
  CrashNotice,
  PartCrashNotice,
  PartSuccessNotice,
} from "../../connection/peer_notice.ts";

/** Maximum length of a fingerprint, a group key or the id of a prompt part, in characters. */
const MAX_TEXT_LENGTH = 512;

/**
 * Decodes the crashes in a peer's notice. Odd entries are left out, so that they do not end the link or change what is known about other requests.
 *
 * @example
 * ```ts
 * decodeCrashes(notice.crashes).forEach((crash) => crashes.applyNotice(crash));
 * ```
 */
export function decodeCrashes(value: unknown): CrashNotice[] {
  return listObjects<CrashNotice>(value).filter((
    { fingerprint, groupKey, ageMs },
  ) => isText(fingerprint) && isText(groupKey) && isAgeOrMissing(ageMs));
}

/** Decodes the fingerprints of completed requests in a peer's notice. */
export function decodeFingerprints(value: unknown): string[] {
  return Array.isArray(value) ? value.filter(isText) : [];
}

/** Decodes the suspected prompt parts in a peer's notice. */
export function decodePartCrashes(value: unknown): PartCrashNotice[] {
  return listObjects<PartCrashNotice>(value).filter((
    { groupKey, parts, ageMs },
  ) =>
    isText(groupKey) && isAge(ageMs) && Array.isArray(parts) &&
    parts.every(isText)
  );
}

/** Decodes the harmless prompt parts in a peer's notice. */
export function decodePartSuccesses(value: unknown): PartSuccessNotice[] {
  return listObjects<PartSuccessNotice>(value).filter((
    { groupKey, part, time },
  ) =>
    isText(groupKey) && isText(part) && (time === "before" || time === "after")
  );
}

/** Lists the entries of a list that are objects; their fields are not checked. */
function listObjects<T>(value: unknown): T[] {
  return Array.isArray(value)
    ? value.filter((entry) => typeof entry === "object" && entry !== null)
    : [];
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= MAX_TEXT_LENGTH;
}

function isAge(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isAgeOrMissing(value: unknown): boolean {
  return value === undefined || isAge(value);
}
