// One open watch channel to the store goes silent; later the operator writes a new configuration.
import { config, KEY, plainService, route, SECOND_KEY } from "../config.mjs";
import { StoreProxy } from "../proxy.mjs";
import { BOUNDS, chooseNetwork, delay, HAS_TROUBLE, Run, sendRequest, waitUntil } from "../run.mjs";
import { PlainServer } from "../servers.mjs";
import { Store } from "../store.mjs";

const ZONES = ["kyushu-a", "kyushu-b", "kyushu-c"];
const DAEMONS = 3;
/** Time from the silence to the change, in milliseconds: over `ContactMs`, so that the machines are in touch again. */
const QUIET_MS = BOUNDS.ContactMs + 200;
/** Time for which requests are sent after the bound, in milliseconds. */
const WATCHED_MS = 7_000;

const run = new Run(import.meta.dirname ?? new URL(".", import.meta.url).pathname);
const store = new Store();
await store.listen();
run.onEnd(() => store.close());
const routes = (service, more = []) => [
  route("r-look", "/look/", "idempotent", service),
  ...more,
];
const services = [plainService("old-app"), plainService("new-app")];
store.put("config", "main", config(7, { routes: routes("old-app"), services }));
for (const service of ["old-app", "new-app"]) {
  for (const zone of ZONES) {
    const server = new PlainServer({ run, store, service, zone, slots: 6 });
    await server.start();
    run.onEnd(() => server.close());
  }
}
const network = await chooseNetwork(DAEMONS);
const proxies = [];
const daemons = [];
for (let i = 0; i < DAEMONS; i++) {
  const proxy = new StoreProxy(store.address);
  await proxy.listen();
  run.onEnd(() => proxy.close());
  proxies.push(proxy);
  daemons.push(await run.startDaemon({ name: `edge-${i + 1}`, zone: ZONES[i], ip: `${network}.${i + 1}`, storeAddress: proxy.address }));
}
const look = (daemon, options = {}) =>
  sendRequest(run, daemon, { method: "GET", path: "/look/1/", key: KEY, deadlineMs: 4_000, ...options });
for (const daemon of daemons) {
  await waitUntil(`${daemon.name} serves`, async () => (await look(daemon, { label: "warm-up" })).status === 200);
}
await delay(4_000);

// A first change, which has to be in force everywhere in time, so that a watch begins anew.
store.put("config", "main", config(8, { routes: routes("old-app", [route("r-extra", "/extra/", "idempotent", "old-app")]), services }));
await delay(400);
let silenced = 0;
if (HAS_TROUBLE) {
  for (const [i, proxy] of proxies.entries()) {
    const requests = proxy.silence(/objects\/config\?Watch=/);
    silenced += requests.length;
    if (requests.length > 0) run.record("silenced", `${daemons[i].name}: ${requests.join(", ")}`);
  }
  if (silenced === 0) {
    run.record("error", "no open watch on the configuration was found");
    run.finish(2);
  }
}
await delay(QUIET_MS);
for (const daemon of daemons) {
  if ((await look(daemon, { path: "/extra/1/", label: "first-change" })).status !== 200) {
    run.record("error", `the first change is not in force at ${daemon.name}`);
    run.finish(2);
  }
}

// The change: the route goes to the new service, one key is taken away, and a route is added.
store.put("config", "main", config(9, { routes: routes("new-app", [route("r-added", "/added/", "idempotent", "new-app")]), services, keys: [KEY] }));
const acknowledgedAtMs = run.nowMs;
run.record("config-acknowledged", "version 9");
await delay(BOUNDS.ConfigMs + 50);
const kinds = [
  { label: "moved-route", isOld: (r) => r.status === 200 && r.body === "done by old-app" },
  { label: "removed-key", key: SECOND_KEY, isOld: (r) => r.status === 200 },
  { label: "added-route", path: "/added/1/", isOld: (r) => r.status === 404 },
];
const pending = [];
const endMs = run.nowMs + WATCHED_MS;
while (run.nowMs < endMs) {
  for (const daemon of daemons) {
    for (const { isOld, ...options } of kinds) {
      pending.push(look(daemon, options).then((result) => ({ ...result, label: options.label, isOld: isOld(result) })));
    }
  }
  await delay(250);
}
const results = await Promise.all(pending);
const late = results.filter((r) => r.isOld);
for (const daemon of daemons) {
  for (const { label } of kinds) {
    const old = late.filter((r) => r.daemon === daemon.name && r.label === label);
    const lastMs = Math.max(0, ...old.map((r) => r.sentAtMs - acknowledgedAtMs));
    run.record("judged", `${daemon.name} ${label}: ${old.length} handled by the older version, the last sent ${(lastMs / 1000).toFixed(1)} s after the acknowledgement (bound ${BOUNDS.ConfigMs / 1000} s)`);
  }
}
const storeAnswersMs = proxies.map((p) => Math.round(performance.now() - p.lastAnswerAtMs));
run.record("store-path", `last answer of the store to each machine, ms ago: ${storeAnswersMs.join(", ")}`);
const stretchedMs = BOUNDS.ConfigMs + BOUNDS.MaxSkewMs;
const lateAlsoStretched = late.filter((r) => r.sentAtMs - acknowledgedAtMs > stretchedMs);
run.record("stretched", `sent even later than ConfigMs + MaxSkewMs, the bound of an unstable core: ${lateAlsoStretched.length}`);
run.record("result", `CONFIG: ${late.length} of ${results.length} requests sent after the bound were handled as only version 8 allows; silenced channels: ${silenced}`);
run.finish(late.length > 0 ? 1 : 0);
