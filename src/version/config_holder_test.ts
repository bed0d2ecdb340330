import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ConfigHolder } from "./config_holder.ts";
import { configSchema, type VersionedConfig } from "./config_schema.ts";

function createConfig(version: number): VersionedConfig {
  return {
    version,
    document: configSchema.parse({
      schemaVersion: 1,
      zones: [{ name: "zone-a", region: "region-1" }],
      clientAccounts: [{ name: "a", apiKeySha256: ["0".repeat(64)] }],
      clockSkewMarginMs: version,
    }),
  };
}

describe("ConfigHolder.offer", () => {
  // Guards against reverting to an older configuration when messages are reordered, duplicated or lost (I10).
  it("never reverts to an older version, in any order of delivery", () => {
    const deliveries = fc.array(fc.integer({ min: 1, max: 20 }), {
      minLength: 1,
      maxLength: 60,
    });
    fc.assert(fc.property(deliveries, (versions) => {
      const holder = new ConfigHolder();
      let highestVersion = 0;
      for (const version of versions) {
        holder.offer(createConfig(version));
        highestVersion = Math.max(highestVersion, version);
        expect(holder.getVersion()).toBe(highestVersion);
        expect(holder.getCurrentOrThrow().document.clockSkewMarginMs)
          .toBe(highestVersion);
      }
    }));
  });
});

describe("ConfigHolder.compare", () => {
  // Guards against failing to detect that the store was restored from a backup or replaced.
  it.each(
    [
      [6, "other", "newer"],
      [4, "other", "reverted"],
      [5, "other", "conflicting"],
    ] as const,
  )("compares version %s with digest %s", (version, digest, expected) => {
    const holder = new ConfigHolder();
    holder.offer(createConfig(5));
    expect(holder.compare({ version, digest })).toBe(expected);
    expect(holder.compare({ version: 5, digest: holder.getDigest() }))
      .toBe("same");
  });
});
