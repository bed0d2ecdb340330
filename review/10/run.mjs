import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfig, delay, Deployment, HAS_TROUBLE, ZONES } from "../deployment-2.mjs";
import { Server } from "../server-2.mjs";

const DRAIN_MS = 2_000;
const SERVES_ON_MS = 7_000; // DrainMs and "a little longer (at times many seconds)"
const MACHINES = 7;
const KILLED = [1, 4, 2, 5]; // herd_kill: share 0.55 of 7; all processes of two zones, the planner's among them
const CYCLES = 4;
/** Time from a read of the list until the killed processes start again; with the start itself 1 to 2 s after the kill (herd_kill: for_s = 2.0). */
const RESTART_AFTER_READ_MS = Number(process.env.RESTART_MS ?? 750);
const REMOVE_AFTER_READ_MS = 60;

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)));
const { store } = deployment;
const sent = new Map(); // id to the machine that took the request
const late = [];
let serverCount = 0;

async function startServer(zone) {
  const id = `a-${String(++serverCount).padStart(4, "0")}`;
  const server = new Server({
    id, service: "app", zone, host: deployment.host, store: store.address, slots: 6, workMs: 60,
    onEvent: ({ what, id: requestId, atMs }) => {
      const afterMs = atMs - server.goneAtMs;
      if (what === "arrives" && afterMs > DRAIN_MS && server.survivors.has(sent.get(requestId))) {
        late.push(requestId);
        deployment.note(`${requestId} reaches server ${id} from ${sent.get(requestId)} ${afterMs} ms after the removal of its entry was acknowledged`);
      }
    },
  });
  server.zone = zone;
  await server.start();
  return server;
}

function waitForRead(isCounted = () => true) {
  return new Promise((resolve) => {
    store.onRead = (kind) => {
      if (kind !== "servers" || !isCounted()) return;
      store.onRead = () => {};
      resolve();
    };
  });
}

const servers = [];
await deployment.start({ daemons: 0, config: createConfig(1) });
for (const zone of ZONES) servers.push(await startServer(zone));
deployment.startDaemon(1); // the first one becomes the planner
await delay(2_500);
for (const i of [0, 2, 3, 4, 5, 6]) deployment.startDaemon(i);
await deployment.waitUntil(async () => {
  const answers = await Promise.all(deployment.daemons.map((d) => deployment.send(d, { method: "GET", path: "/look/1", isQuiet: true })));
  return answers.every(({ status }) => status === 200);
}, 20_000, "the service is served by all machines");
await delay(4_000);
deployment.note("all machines serve; the traffic starts");
const survivors = new Set(deployment.daemons.filter((_, i) => !KILLED.includes(i)).map(({ name }) => name));
let turn = 0;
const traffic = setInterval(() => {
  const daemon = deployment.daemons[turn++ % MACHINES];
  const pending = deployment.send(daemon, { path: "/book/1", body: "{}", isQuiet: true });
  sent.set(`r${String(deployment.requestCount).padStart(12, "0")}`, daemon.name);
  return pending;
}, 50);

for (let cycle = 0; cycle < CYCLES && late.length === 0; cycle++) {
  const leaving = servers.shift();
  servers.push(await startServer(leaving.zone));
  await delay(3_000);
  if (HAS_TROUBLE) {
    for (const i of KILLED) deployment.daemons[i].child.kill("SIGKILL");
    const killedAtMs = Date.now();
    deployment.note(`the processes of ${KILLED.map((i) => `edge-${i}`).join(", ")} are killed`);
    await delay(300);
    await waitForRead();
    deployment.note(`a machine has read the list, ${Date.now() - killedAtMs} ms after the kill`);
    const restart = delay(RESTART_AFTER_READ_MS).then(() => {
      for (const i of KILLED) deployment.startDaemon(i);
    });
    await delay(400);
    await waitForRead();
    deployment.note(`a machine has read the list, ${Date.now() - killedAtMs} ms after the kill`);
    await delay(REMOVE_AFTER_READ_MS);
    removeEntry(leaving);
    await restart;
  } else {
    await delay(2_500);
    removeEntry(leaving);
  }
  await delay(SERVES_ON_MS);
  leaving.stop();
  deployment.note(`server ${leaving.id} has ended`);
  await delay(3_000);
}
clearInterval(traffic);

/** The server leaves without reporting `draining`: its entry is removed, and it serves on for a while. */
function removeEntry(server) {
  server.stopReporting();
  server.survivors = survivors;
  store.remove("servers", server.id);
  server.goneAtMs = Date.now();
  deployment.note(`the entry of server ${server.id} is removed from the store`);
}

const summary = `${late.length} requests reached a server later than ${DRAIN_MS} ms after the removal of its entry, sent by machines whose processes ran all the while`;
deployment.finish(late.length > 0 ? 1 : 0, summary);
