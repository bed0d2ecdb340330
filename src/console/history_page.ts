import type { Either } from "purify-ts";
import type { StoreUnavailableError } from "../connection/object_store.ts";
import { getConfigDiff } from "../version/config_diff.ts";
import type { VersionedConfig } from "../version/config_schema.ts";
import type { StoredConfig } from "../version/stored_config.ts";
import { type Html, html } from "./html.ts";
import { renderDifferences } from "./preview_page.ts";

const MAX_SHOWN_VERSIONS = 20;

/**
 * Renders the earlier versions, each with its differences to the version that followed it.
 *
 * @param current - Version in force.
 * @param versions - Earlier versions, newest first.
 */
export function renderHistoryPage(
  current: VersionedConfig | undefined,
  versions: Either<StoreUnavailableError, StoredConfig[]>,
): Html {
  return versions.caseOf({
    Left: (error) => html`<p class="bad">${error.message}.</p>`,
    Right: (entries) => renderVersions(current, entries),
  });
}

function renderVersions(
  current: VersionedConfig | undefined,
  entries: readonly StoredConfig[],
): Html {
  const shownEntries = entries.slice(0, MAX_SHOWN_VERSIONS);
  const items = shownEntries.map((entry, index) => {
    const next = index === 0 ? current : shownEntries[index - 1];
    return html`<details><summary>Version ${entry.version} ${entry.acceptedAt} ${entry.operator}</summary>
<p>Changed by the next version:</p>
${renderDifferences(getConfigDiff(entry.document, next?.document))}
</details>`;
  });
  return html`<p>In force: version <b>${
    current?.version ?? 0
  }</b>. Earlier versions, newest first:</p>
${items}`;
}
