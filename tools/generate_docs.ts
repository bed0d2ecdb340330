import { writeFile } from "node:fs/promises";
import { renderSettingsReference } from "./settings_reference.ts";

await writeFile("docs/settings.md", renderSettingsReference());
