import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";

const DAEMON_KIND = "tarragontally-daemons";
const NESTING_DEPTH = 100_000;
/** Time in which a daemon sends several notices, in milliseconds. */
const EXCHANGE_MS = 1_500;

const DEEP_ARRAY = `${"[".repeat(NESTING_DEPTH)}${"]".repeat(NESTING_DEPTH)}`;

describe("an odd registration of a daemon", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  async function startDeployment(): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons: 1, models: 0 });
    return deployment;
  }

  /** Writes the first daemon's registration again with a further field. */
  function addField(deployment: PlatformDeployment, field: string): void {
    const { store } = deployment;
    const fields = JSON.stringify(store.getObject(DAEMON_KIND, "entry-0"));
    store.putEncodedObject(
      DAEMON_KIND,
      "entry-0",
      (revision) =>
        `{"Metadata":{"Name":"entry-0","Revision":${revision}},"Spec":${
          fields.replace("{", `{${field},`)
        }}`,
    );
  }

  // A registration was sent to the peers with all fields that it had; encoding a deeply nested one throws.
  it("does not keep a daemon from linking with the registered one", async () => {
    const deployment = await startDeployment();
    await delay(EXCHANGE_MS);
    addField(deployment, `"odd":${DEEP_ARRAY}`);
    await deployment.startDaemon("entry-1");
    await deployment.waitUntilLinked();
    await delay(EXCHANGE_MS);
    const names = deployment.events.map(({ event }) => event);
    expect(names).not.toContain("task-failed");
    expect(names).not.toContain("peer-link-failed");
  });

  it.each([
    ["content that is nested", DEEP_ARRAY],
    ["content that is a string", '"text"'],
    ["content that is not JSON", "NaN"],
    [
      "a port out of range",
      '{"address":"127.0.0.1:99999","zone":"z1","processorCores":1}',
    ],
    [
      "a number of cores that is too large",
      '{"address":"127.0.0.1:9","zone":"z1","processorCores":1e308}',
    ],
    [
      "a name with a line break",
      '{"address":"127.0.0.1:9","zone":"z1\\n","processorCores":1}',
    ],
  ])("does not keep two daemons from linking: %s", async (_name, spec) => {
    const deployment = await startDeployment();
    deployment.store.putEncodedObject(
      DAEMON_KIND,
      "entry-00",
      (revision) =>
        `{"Metadata":{"Name":"entry-00","Revision":${revision}},"Spec":${spec}}`,
    );
    await deployment.startDaemon("entry-1");
    await deployment.waitUntilLinked();
    await delay(EXCHANGE_MS);
    const events = deployment.events.map(({ event, fields }) => ({
      event,
      peer: fields.peer,
    }));
    expect(events).not.toContainEqual(
      expect.objectContaining({ event: "task-failed" }),
    );
    expect(events).not.toContainEqual(
      expect.objectContaining({ peer: "entry-00" }),
    );
  });
});
