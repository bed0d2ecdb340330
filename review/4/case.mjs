// A server spoils some of its answers: it sends bytes that are not a response. The requests concerned are never answered.
import { config, KEY, plainService, route } from "../config.mjs";
import { BOUNDS, chooseNetwork, delay, HAS_TROUBLE, Run, sendRequest, waitUntil } from "../run.mjs";
import { PlainServer } from "../servers.mjs";
import { Store } from "../store.mjs";

const ZONES = ["kyushu-a", "kyushu-b", "kyushu-c"];
const DAEMONS = 2;
/** Share of the servers that are faulty, and share of their answers that they spoil: the doses of `garble` in the site file. */
const FAULTY_SHARE = 0.5;
const SPOILED_SHARE = 0.05;
/** Length of a spell, in milliseconds: the longest `for_s` of `garble` in the site file. */
const SPELL_MS = 5_500;
const PAUSE_MS = 2_000;
/** About the rate of `dispatch-confirm` and `ticket-lookup` together. */
const INTERVAL_MS = 50;
const ROUTE_TIMEOUT_MS = 2_000;
const CLIENT_BUDGET_MS = 4_000;
/** Time after the route's timeout at which a request must have an answer, in milliseconds. */
const ANSWER_SLACK_MS = 500;
/** Number of requests without an answer from which the rule is judged. */
const MIN_LATE = 8;
/** Bytes that are no response to a request that asks for no other protocol. */
const MAIL = "550 5.7.1 no such mailbox\r\n\r\n";
const UPGRADE = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n";
const SPELLS = [MAIL, MAIL, UPGRADE, UPGRADE, UPGRADE, UPGRADE, UPGRADE, UPGRADE];

const run = new Run(import.meta.dirname ?? new URL(".", import.meta.url).pathname);
const store = new Store();
await store.listen();
run.onEnd(() => store.close());
store.put("config", "main", config(7, {
  routes: [
    route("r-look", "/look/", "idempotent", "ticket-app", { TimeoutMs: ROUTE_TIMEOUT_MS }),
    route("r-book", "/book/", "non_idempotent", "ticket-app", { TimeoutMs: ROUTE_TIMEOUT_MS }),
  ],
  services: [plainService("ticket-app")],
}));
const spoiled = new Map();
let spoiledBytes;
let faultyRunCount = 0;
let faultyServers = [];
const servers = [];
const onRun = (server, req) => {
  if (spoiledBytes === undefined || !faultyServers.includes(server) || ++faultyRunCount % Math.round(1 / SPOILED_SHARE) !== 0) return false;
  spoiled.set(req.headers["request-id"], spoiledBytes);
  run.record("spoiled", { id: req.headers["request-id"], server: server.id, bytes: spoiledBytes });
  req.socket.write(Buffer.from(spoiledBytes, "latin1"));
  return true;
};
const faultyCount = Math.ceil(ZONES.length * FAULTY_SHARE);
for (const zone of ZONES) {
  const server = new PlainServer({ run, store, service: "ticket-app", zone, slots: 6, behaviour: { onRun } });
  servers.push(server);
  await server.start();
  run.onEnd(() => server.close());
}
const network = await chooseNetwork(DAEMONS);
const daemons = [];
for (let i = 0; i < DAEMONS; i++) {
  daemons.push(await run.startDaemon({ name: `edge-${i + 1}`, zone: ZONES[i], ip: `${network}.${i + 1}`, storeAddress: store.address }));
}
const send = (daemon, options) => sendRequest(run, daemon, { key: KEY, deadlineMs: CLIENT_BUDGET_MS, ...options });
for (const daemon of daemons) {
  await waitUntil(`${daemon.name} serves`, async () => (await send(daemon, { method: "GET", path: "/look/1/", label: "warm-up" })).status === 200);
}
await delay(BOUNDS.ContactMs + 500);

const pending = [];
for (const [spell, bytes] of SPELLS.entries()) {
  // Each spell hits other servers.
  faultyServers = Array.from({ length: faultyCount }, (_, i) => servers[(spell + i) % servers.length]);
  spoiledBytes = HAS_TROUBLE ? bytes : undefined;
  run.record("spell-begin", { bytes: spoiledBytes });
  const endMs = run.nowMs + SPELL_MS;
  while (run.nowMs < endMs) {
    const i = pending.length;
    const options = i % 2 === 0
      ? { method: "GET", path: `/look/${i}/`, label: "look" }
      : { method: "POST", path: `/book/${i}/`, body: "ticket", label: "book" };
    pending.push(send(daemons[(i >> 1) % DAEMONS], options));
    await delay(INTERVAL_MS);
  }
  spoiledBytes = undefined;
  run.record("spell-end");
  await delay(PAUSE_MS);
}
const results = await Promise.all(pending);

const late = results.filter((r) => r.tookMs > ROUTE_TIMEOUT_MS);
const unanswered = late.filter((r) => r.tookMs > ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS);
const count = (end) => results.filter(end).length;
run.record("judged", `${results.length} requests: ${count((r) => r.status === 200)} served, ${count((r) => r.status !== undefined && r.status !== 200)} other answers, ${count((r) => r.end === "unanswered")} without an answer when the client left after ${CLIENT_BUDGET_MS} ms`);
for (const bytes of new Set(SPELLS)) {
  const own = results.filter((r) => spoiled.get(r.requestId) === bytes);
  run.record("judged", `spoiled with ${JSON.stringify(bytes)}: ${own.length} requests, ${own.filter((r) => r.end === "unanswered").length} never answered`);
}
run.record("result", `CONFIG: ${late.length} requests were unanswered at the route's TimeoutMs (${ROUTE_TIMEOUT_MS} ms), ${unanswered.length} of them also ${ANSWER_SLACK_MS} ms later`);
run.finish(unanswered.length >= MIN_LATE && unanswered.length > late.length / 2 ? 1 : 0);
