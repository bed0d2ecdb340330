// A streamed request crashes each group that begins to run it. The machines refuse it, until they are restarted one after the other.
import { config, KEY, modelService, route } from "../lib/config.mjs";
import { BOUNDS, chooseNetwork, delay, HAS_TROUBLE, Run, sendRequest, waitUntil } from "../lib/run.mjs";
import { ModelServer } from "../lib/servers.mjs";
import { Store } from "../lib/store.mjs";

const ZONES = ["kyushu-a", "kyushu-b", "kyushu-c"];
const DAEMONS = 3;
const SERVERS_PER_DOMAIN = 6;
/** Time from a crash until the server is back, in milliseconds. */
const BACK_MS = 2_000;
/** Interval at which the same request comes again, in milliseconds. */
const REPEAT_MS = 2_500;
/** Number of retries that the rule allows after the third crash and `ContactMs`. */
const ALLOWED_RETRIES = 3;
const MODEL = "daka510000";
const MODELS = [{ Name: MODEL, size: 2, Share: 1, pace: 0.6, LoadS: 1, WarmS: 0.3 }];
const POISON = "draft the report of the shift that crashes";

const run = new Run(import.meta.dirname ?? new URL(".", import.meta.url).pathname);
const store = new Store();
await store.listen();
run.onEnd(() => store.close());
store.put("config", "main", config(7, {
  routes: [route("r-summary", "/summary/", "streaming", "tally-llm", { TimeoutMs: 8_000, TargetLatencyMs: 400, Priority: 1, Sticky: true, Resumable: true, GapTargetMs: 300 })],
  services: [modelService("tally-llm", MODELS)],
}));
/** Runs of the request that crashed a server. */
const crashes = [];
let poisonDaemon;
const onRun = (server, req) => {
  if (req.headers["token-usage"] !== "1460,81") return false;
  crashes.push({ atMs: run.nowMs, server: server.id, id: req.headers["request-id"], daemon: poisonDaemon });
  server.crash(BACK_MS);
  return true;
};
const behaviour = { onRun, models: { [MODEL]: { loadMs: 1_000, warmMs: 300 } } };
for (const zone of ZONES) {
  for (let i = 0; i < SERVERS_PER_DOMAIN; i++) {
    const server = new ModelServer({ run, store, service: "tally-llm", zone, slots: 12, domain: `${zone}-d0`, behaviour });
    await server.start();
    run.onEnd(() => server.close());
  }
}
const network = await chooseNetwork(DAEMONS);
const daemons = [];
for (let i = 0; i < DAEMONS; i++) {
  daemons.push(await run.startDaemon({ name: `edge-${i + 1}`, zone: ZONES[i], ip: `${network}.${i + 1}`, storeAddress: store.address }));
}
let soundCount = 0;
const send = (daemon, options) => sendRequest(run, daemon, { method: "POST", key: KEY, deadlineMs: 8_000, ...options });
const sendSound = (daemon) => {
  const part = (++soundCount).toString(16).padStart(8, "0");
  return send(daemon, { path: "/summary/1/", body: `draft ${part}`, headers: { Model: MODEL, "Token-Usage": "1460,80", "Prompt-Prefix": `5c1e07a2:40,${part}:1420` }, label: "sound" });
};
/** The request: each time with the same path, caller and body, and an id of its own. */
const sendPoison = async (daemon) => {
  poisonDaemon = daemon.name;
  return await send(daemon, { path: "/summary/2/", body: POISON, headers: { Model: MODEL, "Token-Usage": "1460,81", "Prompt-Prefix": "5c1e07a2:40,e4402b7d:1420" }, label: "same-request" });
};
for (const daemon of daemons) {
  await waitUntil(`${daemon.name} serves`, async () => (await sendSound(daemon)).status === 200);
}
let isOver = false;
const sound = [];
const soundTraffic = (async () => {
  for (let i = 0; !isOver; i++) {
    sound.push(sendSound(daemons[i % DAEMONS]));
    await delay(150);
  }
})();
await delay(BOUNDS.ContactMs + 500);

// Before any restart: the request comes until the machines refuse it, and some more.
const refused = async (daemon) => {
  const before = crashes.length;
  const answer = await sendPoison(daemon);
  return answer.status === 503 && crashes.length === before;
};
for (let i = 0; crashes.length < 3 && i < 10; i++) {
  await sendPoison(daemons[i % DAEMONS]);
  await delay(REPEAT_MS);
}
const thirdCrashMs = crashes[2]?.atMs ?? Number.POSITIVE_INFINITY;
const boundMs = thirdCrashMs + BOUNDS.ContactMs;
await delay(BOUNDS.ContactMs);
for (const daemon of daemons) {
  run.record("before-restarts", `${daemon.name} refuses the request: ${await refused(daemon)}`);
}
// Planned restarts, one machine after the other; without the disruption the machines go on.
for (const daemon of daemons) {
  if (HAS_TROUBLE) await daemon.restart();
  // The machine is in touch again `ContactMs` after its start.
  await delay(BOUNDS.ContactMs + 1_000);
  for (let i = 0; i < 3; i++) {
    await sendPoison(daemon);
    await delay(REPEAT_MS);
  }
}
isOver = true;
await soundTraffic;
const soundResults = await Promise.all(sound);

const late = crashes.filter(({ atMs }) => atMs > boundMs);
const lateRequests = new Set(late.map(({ id }) => id)).size;
for (const { atMs, server, id, daemon } of crashes) {
  run.record("judged", `${(atMs / 1000).toFixed(2)} s: request ${id}, sent to ${daemon}, crashed ${server}${atMs > boundMs ? " (after the bound)" : ""}`);
}
run.record("judged", `sound streams: ${soundResults.filter((r) => r.status === 200 && r.end === "complete").length} of ${soundResults.length} complete`);
run.record("result", `BUDGET: the request reached servers ${late.length} times, in ${lateRequests} client attempts, later than ContactMs after the third crash; allowed are ${ALLOWED_RETRIES}`);
run.finish(crashes.length < 3 ? 2 : late.length > ALLOWED_RETRIES ? 1 : 0);
