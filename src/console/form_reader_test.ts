import { describe, expect, it } from "vitest";
import { configSchema } from "../version/config_schema.ts";
import { getSchemaNode } from "../version/schema_node.ts";
import { type FormFields, readForm } from "./form_reader.ts";
import { renderForm } from "./form_renderer.ts";

const NODE = getSchemaNode(configSchema);

const DOCUMENT = configSchema.parse({
  schemaVersion: 1,
  zones: [
    {
      name: "zone-a",
      region: "region-1",
      takenOut: true,
      quietHours: [{
        timeZone: "Asia/Tokyo",
        weekdays: ["monday", "friday"],
        from: "22:00",
        to: "06:00",
      }],
    },
    { name: "zone-b", region: "region-1" },
  ],
  models: [{
    name: "model-1",
    groupSizeVms: 4,
    placements: [{ zones: ["zone-a", "zone-b"], count: 2 }],
    slotsPerGroup: 8,
    kvTokensPerGroup: 1_000,
  }],
  services: [{
    name: "bookings",
    backends: [{ address: "10.0.0.7:8080", zone: "zone-a" }],
    nonRepeatable: [{ method: "POST", path: '/visits<1>&"2"' }],
  }],
  clientAccounts: [{ name: "hotel", apiKeySha256: ["0".repeat(64)] }],
});

describe("readForm", () => {
  function readChangedForm(
    change: (fields: Record<string, string | string[]>) => void,
  ) {
    const text = renderForm(NODE, { path: "", name: "", value: DOCUMENT }).text;
    const fields = getSubmittedFields(text);
    change(fields);
    return readForm(NODE, fields as FormFields);
  }

  // Guards against a form that changes or drops values of the document that the operator did not edit.
  it("returns the same document when no field was changed", () => {
    expect(configSchema.parse(readChangedForm(() => {}))).toEqual(DOCUMENT);
  });

  it("removes an item whose checkbox was cleared", () => {
    const value = readChangedForm((fields) => delete fields["zones.1.$keep"]);
    expect(configSchema.parse(value).zones.map((z) => z.name))
      .toEqual(["zone-a"]);
  });

  it("adds an item whose checkbox was selected", () => {
    const value = readChangedForm((fields) => {
      fields["zones.2.$keep"] = "1";
      fields["zones.2.name"] = "zone-c";
      fields["zones.2.region"] = "region-1";
    });
    expect(configSchema.parse(value).zones.at(-1)).toMatchObject({
      name: "zone-c",
      takenOut: false,
    });
  });

  // Guards against an invalid number that is silently replaced by another value.
  it("keeps an invalid number so that the schema refuses it", () => {
    const value = readChangedForm((fields) =>
      fields["models.0.groupSizeVms"] = "many"
    );
    expect(configSchema.safeParse(value).success).toBe(false);
  });
});

/** Gets the fields that a browser would submit for a rendered form. */
function getSubmittedFields(
  text: string,
): Record<string, string | string[]> {
  const fields: Record<string, string | string[]> = {};
  for (const match of text.matchAll(/<input([^>]*)>/g)) {
    const attributes = match[1];
    const name = /name="([^"]*)"/.exec(attributes)![1];
    const isCheckbox = attributes.includes('type="checkbox"');
    if (!isCheckbox || /\schecked/.test(attributes)) {
      fields[name] = parseEscapedText(/value="([^"]*)"/.exec(attributes)![1]);
    }
  }
  for (
    const match of text.matchAll(/<textarea name="([^"]*)"[^>]*>([^<]*)</g)
  ) {
    fields[match[1]] = parseEscapedText(match[2]);
  }
  for (
    const match of text.matchAll(/<select name="([^"]*)"([^]*?)<\/select>/g)
  ) {
    const options = [...match[2].matchAll(/<option selected>([^<]*)</g)]
      .map((option) => option[1]);
    const isMultiple = match[2].startsWith(" multiple");
    fields[match[1]] = isMultiple ? options : options[0] ?? "POST";
  }
  return fields;
}

function parseEscapedText(text: string): string {
  return text.replaceAll("&lt;", "<").replaceAll("&gt;", ">")
    .replaceAll("&quot;", '"').replaceAll("&#39;", "'").replaceAll(
      "&amp;",
      "&",
    );
}
