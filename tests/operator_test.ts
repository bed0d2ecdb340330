import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import got from "got";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Cli } from "../src/cli/cli.ts";
import { EXIT_CODES, type ExitReason } from "../src/cli/exit_codes.ts";
import type { ConfigDocument } from "../src/version/config_schema.ts";
import { TestDeployment, waitUntil } from "./support/test_deployment.ts";

const IN_FORCE_LIMIT_MS = 6_000;

describe("operators' interfaces", () => {
  let deployment: TestDeployment;
  let directory: string;

  beforeAll(async () => {
    deployment = await TestDeployment.start();
    directory = await mkdtemp(join(tmpdir(), "operator-test-"));
  });

  afterAll(async () => {
    await deployment.dispose();
    await rm(directory, { recursive: true });
  });

  function getUrl(index = 0): string {
    return `http://${deployment.daemons[index].operatorAddress}`;
  }

  async function runCli(
    args: string,
    url = getUrl(),
  ): Promise<{ code: number; output: string; errors: string }> {
    const output: string[] = [];
    const errors: string[] = [];
    const code = await new Cli({
      args: args.split(" "),
      environment: { TARRAGONTALLY_DAEMON: url, USER: "tester" },
      output: { write: (line) => output.push(line) },
      errorOutput: { write: (line) => errors.push(line) },
    }).run();
    return { code, output: output.join("\n"), errors: errors.join("\n") };
  }

  async function writeDocument(
    change: (document: ConfigDocument) => void,
  ): Promise<string> {
    const currentConfig = deployment.daemons[0].context.configHolder
      .getCurrentOrThrow();
    const document = structuredClone(currentConfig.document);
    change(document);
    const file = join(directory, "document.jsonc");
    await writeFile(file, `// Test document.\n${JSON.stringify(document)}`);
    return file;
  }

  describe("command-line tool", () => {
    // Guards against error messages that do not say what to do next or contain a stack trace, and against exit codes that scripts cannot distinguish.
    it.each<{ name: string; args: string; reason: ExitReason; text: RegExp }>([
      {
        name: "an unknown command",
        args: "stauts",
        reason: "usage",
        text: /Did you mean status\?/,
      },
      {
        name: "an unknown option",
        args: "status --colour",
        reason: "usage",
        text: /colour/,
      },
      {
        name: "a missing file",
        args: "config apply missing.jsonc",
        reason: "usage",
        text: /"missing.jsonc" cannot be read; check/,
      },
      {
        name: "an unreachable daemon",
        args: "status --daemon http://127.0.0.1:1",
        reason: "unreachable",
        text: /does not answer \(ECONNREFUSED\); check/,
      },
      {
        name: "a daemon address that is not a URL",
        args: "status --daemon entry-1",
        reason: "usage",
        text: /no URL; give one like/,
      },
      {
        name: "an unknown availability zone",
        args: "zone take-out zone-x",
        reason: "usage",
        text: /choose one of zone-a, zone-b/,
      },
      {
        name: "an unknown request",
        args: "request explain none",
        reason: "refused",
        text: /check the X-Request-Id/,
      },
      {
        name: "a fingerprint that is not quarantined",
        args: "quarantine clear none",
        reason: "refused",
        text: /quarantine list/,
      },
    ])("reports $name with the next step", async ({ args, reason, text }) => {
      const { code, errors } = await runCli(args);
      expect(code).toBe(EXIT_CODES[reason]);
      expect(errors).toMatch(text);
      expect(errors).not.toContain("    at ");
    });

    it("reports the state of zones, models and groups", async () => {
      const { code, output } = await runCli("status");
      expect(code).toBe(EXIT_CODES.ok);
      expect(output).toMatch(/zone-a\s+region-1\s+yes\s+1\s+2\s+0/);
      const json = JSON.parse((await runCli("status --json")).output);
      expect(json.groups).toHaveLength(2);
    });

    // Guards against a take-out of a zone that is acknowledged before it is in force on all daemons.
    it("takes a zone out and brings it back on all daemons", async () => {
      const startedAtMs = performance.now();
      expect((await runCli("zone take-out zone-b")).code).toBe(EXIT_CODES.ok);
      expect(performance.now() - startedAtMs).toBeLessThan(IN_FORCE_LIMIT_MS);
      for (const daemon of deployment.daemons) {
        expect(daemon.context.zonePolicy.takesNewWork("zone-b")).toBe(false);
      }
      expect((await runCli("zone bring-back zone-b")).code).toBe(EXIT_CODES.ok);
      await deployment.waitUntilServing();
    });

    // Guards against the removal of a model's last capacity without a confirmation.
    it("refuses to take out the last zone of a model without confirmation", async () => {
      expect((await runCli("zone take-out zone-b")).code).toBe(EXIT_CODES.ok);
      const refusal = await runCli("zone take-out zone-a");
      expect(refusal.code).toBe(EXIT_CODES.refused);
      expect(refusal.errors).toContain("confirmNoCapacityFor");
      expect((await runCli("zone bring-back zone-b")).code).toBe(EXIT_CODES.ok);
    });

    // Guards against an operator's change that overwrites a concurrent one.
    it("reports a conflict and the differences for the second of two concurrent changes", async () => {
      const version = deployment.daemons[0].context.configHolder.getVersion();
      const file = await writeDocument((d) => d.weightLoadsAtOnce = 3);
      const firstResult = await runCli(
        `config apply ${file} --expected-version ${version}`,
      );
      expect(firstResult.code).toBe(EXIT_CODES.ok);
      const otherFile = await writeDocument((d) => d.weightLoadsAtOnce = 4);
      const secondResult = await runCli(
        `config apply ${otherFile} --expected-version ${version}`,
        getUrl(1),
      );
      expect(secondResult.code).toBe(EXIT_CODES.conflict);
      expect(secondResult.output).toMatch(
        /weightLoadsAtOnce\s+changed\s+3\s+4/,
      );
      const history = await runCli("config history");
      expect(history.output).toContain("tester");
    });

    it("reports the position of a misspelled key and suggests the right one", async () => {
      const file = join(directory, "typo.jsonc");
      await writeFile(file, '{\n  "schemaVersion": 1,\n  "zone": []\n}');
      const { code, errors } = await runCli(`config check ${file} --offline`);
      expect(code).toBe(EXIT_CODES.refused);
      expect(errors).toContain(
        'typo.jsonc:3:3: zone: The key "zone" is not known; did you mean "zones"?',
      );
    });

    it("shows what a document would change", async () => {
      const file = await writeDocument((d) => d.zones[0].takenOut = true);
      const { output } = await runCli(`config diff ${file}`);
      expect(output).toMatch(
        /zones\[zone-a\].takenOut\s+changed\s+false\s+true/,
      );
    });
  });

  describe("console", () => {
    // Guards against a console that accepts a document which differs from the validated one, or overwrites a newer version.
    it("accepts an edited document and refuses it when its base version is outdated", async () => {
      const page = await got(`${getUrl()}/console/edit`).text();
      expect(page).toContain('name="zones.0.takenOut"');
      const version = deployment.daemons[0].context.configHolder.getVersion();
      const document = structuredClone(
        deployment.daemons[0].context.configHolder.getCurrentOrThrow().document,
      );
      document.clockSkewMarginMs = 2_500;
      const form = {
        $baseVersion: String(version),
        $operator: "clerk",
        $document: JSON.stringify(document),
      };
      const acceptResponse = await got.post(`${getUrl()}/console/accept`, {
        form,
      });
      expect(acceptResponse.body).toContain("Accepted as version");
      await waitUntil(() =>
        deployment.daemons.every((d) =>
          d.context.configHolder.getCurrent()?.document.clockSkewMarginMs ===
            2_500
        )
      );
      const retryResponse = await got.post(`${getUrl()}/console/accept`, {
        form,
        throwHttpErrors: false,
      });
      expect(retryResponse.statusCode).toBe(409);
      expect(retryResponse.body).toContain("accepted first");
    });

    it.each(["/", "/console/edit", "/console/history", "/console/timeline"])(
      "renders %s without scripts",
      async (path) => {
        const page = await got(`${getUrl()}${path}`).text();
        expect(page).toContain("<!doctype html>");
        expect(page).not.toContain("<script");
      },
    );

    // Guards against cross-site request forgery through an operator's browser.
    it("refuses changes from pages of other sites", async () => {
      const response = await got.post(`${getUrl()}/console/accept`, {
        form: {},
        headers: { "sec-fetch-site": "cross-site" },
        throwHttpErrors: false,
      });
      expect(response.statusCode).toBe(403);
    });
  });
});
