// One request of a plain service crashes each server that begins to run it, and comes again and again.
import { config, KEY, plainService, route } from "../config.mjs";
import { BOUNDS, chooseNetwork, delay, HAS_TROUBLE, Run, sendRequest, waitUntil } from "../run.mjs";
import { PlainServer } from "../servers.mjs";
import { Store } from "../store.mjs";

const ZONES = ["kyushu-a", "kyushu-b", "kyushu-c"];
const DAEMONS = 3;
/** Time from a crash until the server is back, in milliseconds. */
const BACK_MS = 3_000;
/** Interval at which the same request comes again, in milliseconds. */
const REPEAT_MS = 4_000;
const REPEATS = 12;
/** Interval of the sound bookings, in milliseconds. */
const SOUND_INTERVAL_MS = 100;
/** Number of retries that the rule allows after the third crash and `ContactMs`. */
const ALLOWED_RETRIES = 3;
const POISON_PATH = "/look/poison/";

const run = new Run(import.meta.dirname ?? new URL(".", import.meta.url).pathname);
const store = new Store();
await store.listen();
run.onEnd(() => store.close());
store.put("config", "main", config(7, {
  routes: [
    route("r-look", "/look/", "idempotent", "ticket-app"),
    route("r-book", "/book/", "non_idempotent", "ticket-app"),
  ],
  services: [plainService("ticket-app")],
}));
/** Arrivals of the request at servers that began to run it. */
const arrivals = [];
let crashedWorkCount = 0;
const onRun = (server, req) => {
  if (!HAS_TROUBLE || req.url !== POISON_PATH) return false;
  arrivals.push({ atMs: run.nowMs, server: server.id, id: req.headers["request-id"] });
  crashedWorkCount += server.running - 1;
  server.crash(BACK_MS);
  return true;
};
for (const zone of ZONES) {
  const server = new PlainServer({ run, store, service: "ticket-app", zone, slots: 6, behaviour: { onRun } });
  await server.start();
  run.onEnd(() => server.close());
}
const network = await chooseNetwork(DAEMONS);
const daemons = [];
for (let i = 0; i < DAEMONS; i++) {
  daemons.push(await run.startDaemon({ name: `edge-${i + 1}`, zone: ZONES[i], ip: `${network}.${i + 1}`, storeAddress: store.address }));
}
const send = (daemon, options) => sendRequest(run, daemon, { key: KEY, deadlineMs: 4_000, ...options });
for (const daemon of daemons) {
  await waitUntil(`${daemon.name} serves`, async () => (await send(daemon, { method: "GET", path: "/look/1/", label: "warm-up" })).status === 200);
}
await delay(BOUNDS.ContactMs + 500);

let isOver = false;
const sound = [];
const soundTraffic = (async () => {
  for (let i = 0; !isOver; i++) {
    sound.push(send(daemons[i % DAEMONS], { method: "POST", path: `/book/${i}/`, body: "ticket", label: "sound" }));
    await delay(SOUND_INTERVAL_MS);
  }
})();
const repeats = [];
for (let i = 0; i < REPEATS; i++) {
  repeats.push(send(daemons[i % DAEMONS], { method: "GET", path: POISON_PATH, label: "same-request" }));
  await delay(REPEAT_MS);
}
isOver = true;
await soundTraffic;
const answers = await Promise.all(repeats);
const soundResults = await Promise.all(sound);

const thirdCrashMs = arrivals[2]?.atMs ?? Number.POSITIVE_INFINITY;
const boundMs = thirdCrashMs + BOUNDS.ContactMs;
const late = arrivals.filter(({ atMs }) => atMs > boundMs);
for (const { atMs, server, id } of arrivals) {
  run.record("judged", `${(atMs / 1000).toFixed(2)} s: request ${id} crashed ${server}${atMs > boundMs ? " (after the bound)" : ""}`);
}
run.record("judged", `answers to the same request: ${answers.map((a) => a.status ?? a.end).join(" ")}`);
run.record("judged", `sound bookings: ${soundResults.filter((r) => r.status === 200).length} of ${soundResults.length} served; ${soundResults.filter((r) => r.status === 502).length} lost their answer (502); requests on a server when it crashed: ${crashedWorkCount}`);
const lateRequests = new Set(late.map(({ id }) => id)).size;
run.record("result", `BUDGET: the request reached servers ${late.length} times, in ${lateRequests} client attempts, later than ContactMs after the third crash; allowed are ${ALLOWED_RETRIES}`);
run.finish(lateRequests > ALLOWED_RETRIES ? 1 : 0);
