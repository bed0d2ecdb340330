import { readFile } from "node:fs/promises";
import { describe, expect, it } from "vitest";
import { renderSettingsReference } from "./settings_reference.ts";

describe("renderSettingsReference", () => {
  // Guards against a reference page that no longer matches the schemas; `npm run generate` regenerates it.
  it("matches the committed page", async () => {
    expect(renderSettingsReference()).toBe(
      await readFile("docs/settings.md", "utf8"),
    );
  });
});
