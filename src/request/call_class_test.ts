import { describe, expect, it } from "vitest";
import { type CallClass, getCallClass } from "./call_class.ts";

const SERVICE = {
  nonRepeatable: [
    { method: "POST" as const, path: "/visits*" },
    { method: "GET" as const, path: "/charge" },
  ],
};

describe("getCallClass", () => {
  function doTest(method: string, path: string): CallClass {
    return getCallClass(SERVICE, { method, path });
  }

  // Guards against repeating a booking whose path is spelled differently from the declared pattern.
  it.each([
    ["POST", "/visits"],
    ["POST", "/visits/7?urgent=1"],
    ["POST", "/Visits"],
    ["POST", "/%76isits"],
    ["POST", "/%2576isits"],
    ["POST", "//visits"],
    ["POST", "/./visits"],
    ["POST", "/jobs/../visits"],
    ["POST", "/jobs/%2e%2e/visits"],
    ["POST", "/visits;v=1/7"],
    ["GET", "/charge"],
    ["GET", "/charge/"],
    ["GET", "/charge?n=1"],
    ["HEAD", "/charge"],
  ])("classifies %s %s as non-repeatable", (method, path) => {
    expect(doTest(method, path)).toBe("non-repeatable");
  });

  // Guards against retries of undeclared calls that have side effects.
  it.each([
    ["GET", "/visits", "repeatable"],
    ["HEAD", "/jobs", "repeatable"],
    ["GET", "/charges", "repeatable"],
    ["POST", "/search", "unsent-only"],
    ["PUT", "/visits", "unsent-only"],
    ["DELETE", "/jobs/1", "unsent-only"],
    ["POST", "/%zz", "unsent-only"],
  ])("classifies %s %s as %s", (method, path, expected) => {
    expect(doTest(method, path)).toBe(expected);
  });
});
