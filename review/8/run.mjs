import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfig, delay, Deployment, HAS_TROUBLE, ZONES } from "../deployment-2.mjs";
import { Server } from "../server-2.mjs";

const CONFIG_MS = 2_000;
const ROUNDS = 5;
const STRANGE_KEY = "key-of-nobody"; // no config ever holds it

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)));
const runs = new Set();

function createVersion(version, tenants) {
  return { ...createConfig(version), Tenants: tenants };
}

async function sendAll(what, key) {
  const answers = [];
  for (let round = 0; round < ROUNDS; round++) {
    for (const daemon of deployment.daemons) {
      answers.push(await deployment.send(daemon, { path: "/book/1", body: "{}", headers: { Credential: key } }));
    }
  }
  const ran = answers.filter(({ id }) => runs.has(id)).length;
  const statuses = [...new Set(answers.map(({ status }) => status))].join(", ");
  deployment.note(`${what}: ${answers.length} bookings with ${key} answered ${statuses}; ${ran} have run`);
  return ran;
}

const tenants = [
  { Name: "tenant-1", ApiKeys: ["key-1"], Priority: 1 },
  { Name: "tenant-2", ApiKeys: ["key-2"], Priority: 1 },
];
await deployment.start({ daemons: 0, config: createVersion(1, tenants) });
for (const [i, zone] of ZONES.entries()) {
  const server = new Server({
    id: `a-000${i + 1}`, service: "app", zone, host: deployment.host, store: deployment.store.address, slots: 6, workMs: 60,
    onEvent: ({ what, id, server: serverId }) => {
      if (what !== "runs") return;
      runs.add(id);
      deployment.note(`server ${serverId} runs ${id}`);
    },
  });
  await server.start();
}
for (let i = 0; i < 3; i++) deployment.startDaemon(i);
await deployment.waitUntil(async () => {
  const answers = await Promise.all(deployment.daemons.map((d) => deployment.send(d, { method: "GET", path: "/look/1", isQuiet: true })));
  return answers.every(({ status }) => status === 200);
}, 20_000, "the service is served by all machines");
deployment.note("all machines serve; both tenants have a key");
await sendAll("version 1", "key-1");
let strange = await sendAll("version 1", STRANGE_KEY);

if (HAS_TROUBLE) {
  // The operator takes the tenants away, one after the other.
  deployment.store.put("config", "main", createVersion(3, [tenants[1]]));
  deployment.note("the store acknowledges version 3 without tenant-1");
  await delay(CONFIG_MS + 1_000);
  await sendAll("version 3", "key-1");
  strange += await sendAll("version 3", STRANGE_KEY);
  deployment.store.put("config", "main", createVersion(6, []));
  deployment.note("the store acknowledges version 6 without tenant-2");
} else {
  deployment.store.put("config", "main", createVersion(6, tenants));
  deployment.note("the store acknowledges version 6 with the same tenants");
}
await delay(CONFIG_MS + 1_000);
strange += await sendAll("version 6", STRANGE_KEY);
const revoked = HAS_TROUBLE ? await sendAll("version 6", "key-1") + await sendAll("version 6", "key-2") : 0;
const summary = `${strange} bookings ran whose key no config ever held; ${revoked} ran with a key that had been taken away over ${CONFIG_MS + 1_000} ms before`;
deployment.finish(strange > 0 ? 1 : 0, summary);
