import type { ServiceConfig } from "../version/config_schema.ts";

/**
 * How often a call may be sent.
 *
 * - `repeatable`: may be sent again after a failure.
 * - `unsent-only`: may be sent again only while no byte of it was sent.
 * - `non-repeatable`: as `unsent-only`, and runs at most once for each idempotency key.
 */
export type CallClass = "repeatable" | "unsent-only" | "non-repeatable";

const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];
const MAX_DECODING_ROUNDS = 3;

/**
 * Gets the class of a call. Declared patterns come first; other calls are repeatable when their method is safe (RFC 9110, section 9.2.1).
 *
 * @param service - Declared service.
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

// Frameworks answer HEAD with the handler of GET.
function isMethodMatch(declaredMethod: string, method: string): boolean {
  return declaredMethod === method ||
    (declaredMethod === "GET" && method === "HEAD");
}

/** Gets the forms under which a backend server may understand a path: it may decode it, ignore case, repeated or trailing slashes, and dot segments. */
function getPathVariants(path: string): string[] {
  const variants = new Set<string>();
  let variant = path.split("?", 1)[0].split("#", 1)[0];
  for (let round = 0; round < MAX_DECODING_ROUNDS; round++) {
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
