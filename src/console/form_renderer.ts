import type { SchemaNode } from "../version/schema_node.ts";
import { type Html, html } from "./html.ts";

/** Value in the document, with its path and the label of its input. */
interface FormField {
  readonly path: string;
  readonly name: string;
  readonly value: unknown;
}

/**
 * Renders the form inputs for a value. The name of each input is the path of its value.
 *
 * @param node - Schema of the value.
 * @param field - Path, label and current value.
 * @example
 * ```ts
 * renderForm(getSchemaNode(configSchema), { path: "", name: "", value: document });
 * ```
 */
export function renderForm(node: SchemaNode, field: FormField): Html {
  switch (node.kind) {
    case "object":
      return renderObject(node, field);
    case "list":
      return renderList(node, field);
    default:
      return html`<label><span>${field.name}</span>
${renderInput(node, field)}
<small>${node.description}</small></label>`;
  }
}

function renderObject(node: SchemaNode, field: FormField): Html {
  const value = (field.value ?? {}) as Record<string, unknown>;
  const inputs = [...node.members ?? []].map(([name, member]) =>
    renderForm(member, {
      path: getMemberPath(field.path, name),
      name,
      value: value[name],
    })
  );
  return html`${inputs}`;
}

function renderList(node: SchemaNode, field: FormField): Html {
  const values = Array.isArray(field.value) ? field.value as unknown[] : [];
  const items = [...values, undefined].map((value, index) =>
    renderListItem(node, { ...field, value }, index)
  );
  return html`<fieldset><legend>${field.name}</legend>
<small>${node.description}</small>
${items}</fieldset>`;
}

function renderListItem(
  node: SchemaNode,
  field: FormField,
  index: number,
): Html {
  const path = getMemberPath(field.path, String(index));
  const isNew = field.value === undefined;
  const label = isNew
    ? `Add to ${field.name}`
    : getItemName(field.value) ?? `${field.name} ${index + 1}`;
  const checkboxLabel = isNew ? "add" : "keep";
  return html`<details ${isNew ? "class=add" : ""}><summary>${label}</summary>
<label class="inline"><input type="checkbox" name="${path}.$keep" value="1" ${
    !isNew && "checked"
  }> ${checkboxLabel}</label>
${renderForm(node.element!, { path, name: label, value: field.value })}
</details>`;
}

function getItemName(value: unknown): string | undefined {
  const { name, address } = value as { name?: string; address?: string };
  return name ?? address;
}

function renderInput(node: SchemaNode, field: FormField): Html {
  const value = field.value ?? node.defaultValue;
  switch (node.kind) {
    case "boolean":
      return html`<input type="checkbox" name="${field.path}" value="true" ${
        value === true && "checked"
      }>`;
    case "choice":
      return html`<select name="${field.path}">${
        renderOptions(node, [String(value)])
      }</select>`;
    case "choice-list":
      return html`<select name="${field.path}" multiple size="${
        node.choices!.length
      }">${renderOptions(node, getTexts(value))}</select>`;
    case "text-list":
      return html`<textarea name="${field.path}" rows="${
        Math.max(2, getTexts(value).length)
      }">${getTexts(value).join("\n")}</textarea>`;
    case "number":
      return html`
        <input type="number" name="${field.path}" value="${formatText(
          value,
        )}" step="${node.integer ? "1" : "any"}"
          min="${formatText(node.minimum)}" max="${formatText(node.maximum)}">
      `;
    case "constant":
      return html`<input name="${field.path}" value="${
        node.choices![0]
      }" readonly>`;
    default:
      return html`<input name="${field.path}" value="${formatText(value)}">`;
  }
}

function renderOptions(
  node: SchemaNode,
  selectedChoices: readonly string[],
): Html[] {
  return (node.choices ?? []).map((choice) =>
    html`<option ${
      selectedChoices.includes(choice) && "selected"
    }>${choice}</option>`
  );
}

function getTexts(value: unknown): string[] {
  return Array.isArray(value) ? value.map(String) : [];
}

function formatText(value: unknown): string {
  return value === undefined ? "" : String(value);
}

function getMemberPath(path: string, name: string): string {
  return path === "" ? name : `${path}.${name}`;
}
