import { describe, expect, it } from "vitest";
import { decodeDescription } from "./daemon_description.ts";

const DESCRIPTION = {
  name: "entry-0",
  address: "10.0.0.7:9000",
  zone: "z1",
  processorCores: 1.5,
};

describe("decodeDescription", () => {
  it("leaves out other fields", () => {
    expect(decodeDescription({ ...DESCRIPTION, odd: [[]] }))
      .toEqual(DESCRIPTION);
  });

  it.each([
    undefined,
    null,
    "text",
    [],
    { ...DESCRIPTION, name: "" },
    { ...DESCRIPTION, name: 7 },
    { ...DESCRIPTION, name: "a\nb" },
    { ...DESCRIPTION, zone: "z".repeat(257) },
    { ...DESCRIPTION, zone: undefined },
    { ...DESCRIPTION, address: "10.0.0.7" },
    { ...DESCRIPTION, address: "10.0.0.7:0" },
    { ...DESCRIPTION, address: "10.0.0.7:65536" },
    { ...DESCRIPTION, address: ":80" },
    { ...DESCRIPTION, processorCores: "1" },
    { ...DESCRIPTION, processorCores: -1 },
    { ...DESCRIPTION, processorCores: 1e308 },
    { ...DESCRIPTION, processorCores: Number.NaN },
  ])("does not decode %j", (value) => {
    expect(decodeDescription(value)).toBeUndefined();
  });
});
