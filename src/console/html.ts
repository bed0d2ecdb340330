import escapeHtml from "escape-html";

/** HTML fragment that is inserted into templates without further escaping. */
export class Html {
  readonly text: string;

  constructor(text: string) {
    this.text = text;
  }

  toString(): string {
    return this.text;
  }
}

type HtmlValue = Html | readonly Html[] | string | number | boolean | undefined;

/**
 * Builds an HTML fragment from a tagged template. Values that are not of type {@link Html} are escaped.
 *
 * @example
 * ```ts
 * html`<td>${"<b>"}</td>`.text; // "<td>&lt;b&gt;</td>"
 * ```
 */
export function html(
  strings: TemplateStringsArray,
  ...values: readonly HtmlValue[]
): Html {
  let text = strings[0];
  values.forEach((value, index) => {
    text += formatValue(value) + strings[index + 1];
  });
  return new Html(text);
}

function formatValue(value: HtmlValue): string {
  if (value === undefined || value === false) {
    return "";
  }
  if (value instanceof Html) {
    return value.text;
  }
  return Array.isArray(value)
    ? value.map((item: Html) => item.text).join("\n")
    : escapeHtml(String(value));
}
