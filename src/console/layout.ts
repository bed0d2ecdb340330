import { Html, html } from "./html.ts";

const STYLE = new Html(`
body{font:15px/1.45 system-ui,sans-serif;margin:0;color:#1a202c;background:#f7fafc}
header{background:#1a365d;color:#fff;padding:.6rem 1.2rem;display:flex;gap:1.4rem;align-items:baseline}
header a{color:#bee3f8;text-decoration:none}header b{font-size:1.1rem}
main{padding:1rem 1.2rem;max-width:1150px}
table{border-collapse:collapse;background:#fff;margin:.4rem 0 1.2rem}
th,td{border:1px solid #cbd5e0;padding:.25rem .6rem;text-align:left}th{background:#edf2f7}
label{display:grid;grid-template-columns:13rem 22rem 1fr;gap:.6rem;margin:.25rem 0}
label.inline{display:block}small{color:#4a5568}
details{border:1px solid #cbd5e0;background:#fff;padding:.3rem .7rem;margin:.3rem 0}
details.add summary{color:#2b6cb0}summary{cursor:pointer;font-weight:600}
fieldset{border:1px solid #a0aec0;margin:.5rem 0}input,select,textarea{font:inherit}
pre{background:#fff;border:1px solid #cbd5e0;padding:.6rem;overflow:auto}
.good{color:#276749}.bad{color:#9b2c2c}.note{padding:.5rem .8rem;background:#fffbea;border:1px solid #d69e2e}
button{font:inherit;padding:.4rem 1rem}svg{background:#fff;border:1px solid #cbd5e0;width:100%;font-size:12px}
`);

/**
 * Renders a whole page of the console with header and navigation.
 *
 * @param title - Title of the page.
 * @param content - Content below the header.
 */
export function renderPage(title: string, content: Html): string {
  return html`
    <!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8">
        <title>${title} · tarragontally</title>
        <style>${STYLE}</style>
      </head>
      <body>
        <header><b>tarragontally</b><a href="/">Overview</a><a href="/console/edit">Configuration</a><a href="/console/history">History</a><a href="/console/timeline">Timeline</a></header>
        <main><h1>${title}</h1>
    ${content}
        </main>
      </body>
    </html>
  `.text;
}
