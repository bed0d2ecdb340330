import { Buffer } from "node:buffer";
import { afterEach, describe, expect, it } from "vitest";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Nesting of a content; that of a field is a tenth of it, since all entries are parsed by three daemons and the store in one process. */
const NESTING_DEPTH = 100_000;
const FIELD_NESTING_DEPTH = 10_000;
const MEGABYTE_LENGTH = 1_000_000;
/** Number of requests that are sent while the odd entry is listed. */
const CALLS_PER_ENTRY = 6;

/** Entry of a usable server of the service whose requests the tests send. No server listens at its address. */
const ENTRY = {
  Service: "app",
  Address: "127.0.0.1:9",
  Zone: "z1",
  Version: "v1",
  Slots: 4,
  State: "ready",
  ColdLeftMs: 0,
  Sequence: 1,
  born: 1_700_000_000_000,
};

function createNested(open: string, close: string, depth: number): string {
  return `${open.repeat(depth)}1${close.repeat(depth)}`;
}

interface OddEntry {
  readonly form: string;
  /** Whether the entry has the name under which it is written, so that a server of that name is not to be used. */
  readonly hasName: boolean;
  /** Encodes the object of the store. */
  encode(name: string, revision: number): string | Buffer;
}

/** Creates an entry whose content is the given JSON text. */
function createOddSpec(form: string, spec: string): OddEntry {
  return {
    form,
    hasName: true,
    encode: (name, revision) =>
      `{"Metadata":{"Name":"${name}","Revision":${revision}},"Spec":${spec}}`,
  };
}

/** Creates an entry that has one field with the given JSON text instead of its usual value. */
function createOddField(field: string, text: string): OddEntry {
  const fields = Object.entries({ ...ENTRY, [field]: undefined })
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `"${name}":${JSON.stringify(value)}`);
  const shownText = text.length > 24 ? `${text.slice(0, 24)}…` : text;
  return createOddSpec(
    `${field} ${shownText}`,
    `{${[...fields, `"${field}":${text}`].join(",")}}`,
  );
}

/** Creates an entry whose metadata is the given JSON text. */
function createOddMetadata(form: string, metadata: string): OddEntry {
  return {
    form,
    hasName: false,
    encode: () => `{"Metadata":${metadata},"Spec":${JSON.stringify(ENTRY)}}`,
  };
}

const ODD_ENTRIES: readonly OddEntry[] = [
  createOddSpec(
    "content of nested arrays",
    createNested("[", "]", NESTING_DEPTH),
  ),
  createOddSpec(
    "content of nested objects",
    createNested('{"a":', "}", NESTING_DEPTH),
  ),
  createOddField("Address", createNested("[", "]", FIELD_NESTING_DEPTH)),
  createOddField(
    "group",
    `{"Name":${createNested('{"a":', "}", FIELD_NESTING_DEPTH)}}`,
  ),
  createOddField("Models", createNested("[", "]", FIELD_NESTING_DEPTH)),
  createOddField("Staged", createNested("[", "]", FIELD_NESTING_DEPTH)),
  createOddField("born", "1e400"),
  createOddField("born", "1e308"),
  createOddField("born", "-1"),
  createOddField("born", "1.5"),
  createOddField("born", "9007199254740993"),
  createOddField("born", "NaN"),
  createOddField("born", "Infinity"),
  createOddField("Slots", "1e400"),
  createOddField("Slots", "1e308"),
  createOddField("Slots", "-4"),
  createOddField("Slots", '"4"'),
  createOddField("ColdLeftMs", "1e400"),
  createOddField("ColdLeftMs", "1e308"),
  createOddField("ColdLeftMs", "-1e308"),
  createOddField(
    "group",
    '{"Name":"g1","epoch":1e308,"rank":0,"State":"open"}',
  ),
  createOddField(
    "group",
    '{"Name":"g1","epoch":9007199254740993,"rank":1e308,"State":"open"}',
  ),
  createOddField("group", '"g1"'),
  createOddField("Address", '"127.0.0.1:0"'),
  createOddField("Address", '"127.0.0.1:65536"'),
  createOddField("Address", '"127.0.0.1:99999"'),
  createOddField("Address", '"127.0.0.1:1000000000"'),
  createOddField("Address", '"127.0.0.1:00000000000000080"'),
  createOddField("Address", '"999.1.1.1:80"'),
  createOddField("Address", '"0.0.0.0:80"'),
  createOddField("Address", '"224.0.0.1:80"'),
  createOddField("Address", '"255.255.255.255:80"'),
  createOddField("Address", '"[::1]:80"'),
  createOddField("Address", `"${"1".repeat(MEGABYTE_LENGTH)}"`),
  createOddField("Zone", `"${"z".repeat(MEGABYTE_LENGTH)}"`),
  createOddField("Zone", "null"),
  createOddField("Zone", '"z1\\nlevel=error"'),
  createOddField("Service", "7"),
  createOddField("State", '"paused"'),
  createOddField("Domain", "{}"),
  createOddField("Staged", '"m"'),
  createOddSpec("content that is null", "null"),
  createOddSpec("content that is a number", "1e400"),
  createOddSpec("content that is not JSON", "{ready}"),
  createOddSpec("content with a control character", '"\u0001"'),
  createOddMetadata("no metadata", "null"),
  createOddMetadata("metadata without a name", '{"Revision":7}'),
  createOddMetadata("a name that is a number", '{"Name":7,"Revision":7}'),
  createOddMetadata(
    "a revision that is a string",
    '{"Name":"odd","Revision":"7"}',
  ),
  createOddMetadata(
    "a revision that is too large",
    '{"Name":"odd","Revision":1e308}',
  ),
  createOddMetadata(
    "a name with a line break",
    '{"Name":"odd\\r\\nX-Odd: 1","Revision":7}',
  ),
  createOddMetadata("a name __proto__", '{"Name":"__proto__"}'),
  { form: "an item that is a string", hasName: false, encode: () => '"text"' },
  {
    form: "bytes that are not UTF-8",
    hasName: true,
    encode: (name, revision) =>
      Buffer.concat([
        Buffer.from(
          `{"Metadata":{"Name":"${name}","Revision":${revision}},"Spec":"`,
        ),
        Buffer.from([0xc3, 0x28, 0xff, 0xfe]),
        Buffer.from('"}'),
      ]),
  },
];

describe("an odd entry among those of the servers", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  function createDeployment(): PlatformDeployment {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    return deployment;
  }

  function putOddEntry(
    deployment: PlatformDeployment,
    entry: OddEntry,
    name = "odd",
  ): void {
    deployment.store.putEncodedObject(
      "servers",
      name,
      (revision) => entry.encode(name, revision),
    );
  }

  /** Sends requests to the plain service, and expects each to be answered. */
  async function confirmServing(deployment: PlatformDeployment): Promise<void> {
    for (const callerAddress of deployment.callerAddresses) {
      for (let i = 0; i < CALLS_PER_ENTRY; i++) {
        const response = await callService(deployment, callerAddress);
        expect(response).toMatchObject({ status: 200, isWhole: true });
      }
    }
  }

  function callService(deployment: PlatformDeployment, callerAddress: string) {
    return deployment.call(callerAddress, { method: "GET", path: "/look/1" });
  }

  /** Expects each daemon to send requests to a server that registers now. */
  async function confirmFollowing(
    deployment: PlatformDeployment,
    id: string,
  ): Promise<void> {
    await deployment.addServer({ id, service: "app", zone: "z1" });
    for (const callerAddress of deployment.callerAddresses) {
      const firstRun = deployment.runs.length;
      await waitUntil(async () => {
        await callService(deployment, callerAddress);
        return deployment.runs.slice(firstRun).some(({ serverId }) =>
          serverId === id
        );
      }, 6_000);
    }
  }

  function putOddEntries(deployment: PlatformDeployment, label: string): void {
    ODD_ENTRIES.forEach((entry, index) =>
      putOddEntry(deployment, entry, `odd-${label}-${index}`)
    );
  }

  function confirmTasks(deployment: PlatformDeployment): void {
    const failures = deployment.events.filter(({ event }) =>
      event === "task-failed" || event === "store-lost"
    );
    expect(failures).toEqual([]);
  }

  it(
    "does not keep a daemon from starting, serving and following the list",
    async () => {
      const deployment = createDeployment();
      putOddEntries(deployment, "before");
      await deployment.start({ daemons: 3, models: 6 });
      await deployment.waitUntilServing();
      await deployment.waitUntilLinked();
      await confirmServing(deployment);
      await confirmFollowing(deployment, "p2");
      putOddEntries(deployment, "after");
      await confirmFollowing(deployment, "p3");
      deployment.store.dropHistory();
      await confirmFollowing(deployment, "p4");
      await confirmServing(deployment);
      await deployment.waitUntilServing();
      confirmTasks(deployment);
    },
    60_000,
  );

  it("names no server after a valid entry, and the others hold", async () => {
    const deployment = createDeployment();
    await deployment.start({ daemons: 1, models: 0 });
    const { callerAddresses: [callerAddress], runs } = deployment;
    await waitUntil(async () =>
      (await callService(deployment, callerAddress)).isWhole
    );
    for (const entry of ODD_ENTRIES.filter(({ hasName }) => hasName)) {
      putOddEntry(deployment, entry, "p1");
      await waitUntil(
        () =>
          deployment.events.some(({ event, fields }) =>
            event === "backend-gone" && fields.server === "p1"
          ),
        3_000,
      ).catch(() => {
        throw new Error(`The server is still used: ${entry.form}`);
      });
      deployment.events.length = 0;
      deployment.fleet.get("p1")!.publishEntry();
      const firstRun = runs.length;
      await waitUntil(async () => {
        await callService(deployment, callerAddress);
        return runs.slice(firstRun).some(({ serverId }) => serverId === "p1");
      }, 6_000);
    }
  }, 120_000);
});
