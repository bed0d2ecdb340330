import type { ServiceConfig } from "../version/config_schema.ts";

/**
 * Retry class of a call.
 *
 * - `repeatable`: may be retried after any failure.
 * - `unsent-only`: may be retried only if no byte of it was sent.
 * - `non-repeatable`: like `unsent-only`, and runs at most once per idempotency key.
 */
export type CallClass = "repeatable" | "unsent-only" | "non-repeatable";

const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];
/** Number of path forms that are compared with the declared patterns: the path as sent, and the results of repeated percent-decoding. */
const MAX_DECODED_FORMS = 3;

/**
 * Returns the retry class of a call. Calls that match a declared pattern are non-repeatable; other calls are repeatable when their method is safe (RFC 9110, section 9.2.1).
 *
 * @param service - Service with its declared patterns.
 * @param call - Method and path of the call.
 * @example
 * ```ts
 * getCallClass(service, { method: "GET", path: "/visits/7" }); // "repeatable"
 * ```
 */
export function getCallClass(
  service: Pick<ServiceConfig, "nonRepeatable">,
  call: { method: string; path: string },
): CallClass {
  const variants = getPathVariants(call.path);
  const isDeclaredNonRepeatable = service.nonRepeatable.some((pattern) =>
    isMethodMatch(pattern.method, call.method) &&
    variants.some((variant) => isPathMatch(pattern.path.toLowerCase(), variant))
  );
  if (isDeclaredNonRepeatable) {
    return "non-repeatable";
  }
  return SAFE_METHODS.includes(call.method) ? "repeatable" : "unsent-only";
}

// A pattern for GET also covers HEAD, since web frameworks run the GET handler for HEAD requests.
function isMethodMatch(declaredMethod: string, method: string): boolean {
  return declaredMethod === method ||
    (declaredMethod === "GET" && method === "HEAD");
}

/** Returns the forms in which a backend server may interpret a path: it may percent-decode the path, ignore case and repeated or trailing slashes, resolve dot segments and drop path parameters. */
function getPathVariants(path: string): string[] {
  const variants = new Set<string>();
  let variant = path.split("?", 1)[0].split("#", 1)[0];
  for (let round = 0; round < MAX_DECODED_FORMS; round++) {
    variants.add(variant.toLowerCase());
    variants.add(getNormalizedPath(variant));
    try {
      variant = decodeURIComponent(variant);
    } catch {
      break;
    }
  }
  return [...variants];
}

function getNormalizedPath(path: string): string {
  const segments: string[] = [];
  for (const segment of path.toLowerCase().split(/[/\\]/)) {
    if (segment === "..") {
      segments.pop();
    } else if (segment !== "" && segment !== ".") {
      segments.push(segment.split(";", 1)[0]);
    }
  }
  return `/${segments.join("/")}`;
}

function isPathMatch(pattern: string, path: string): boolean {
  return pattern.endsWith("*")
    ? path.startsWith(pattern.slice(0, -1))
    : path === pattern || path === `${pattern}/` || `${path}/` === pattern;
}
