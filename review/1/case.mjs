// Three orders of the planner get no answer and are carried out late. One server leaves an open group for another.
import { config, KEY, modelService, route } from "../config.mjs";
import { BOUNDS, chooseNetwork, delay, HAS_TROUBLE, Run, sendRequest, waitUntil } from "../run.mjs";
import { ModelServer } from "../servers.mjs";
import { Store } from "../store.mjs";

const ZONES = ["kyushu-a", "kyushu-b", "kyushu-c"];
const DAEMONS = 3;
const FIRST_SERVERS_PER_DOMAIN = 4;
/** Length of the spell of late orders, in milliseconds, and their largest share: `applied_late` in the site file. */
const SPELL_MS = 5_500;
const LARGEST_SHARE = 0.35;
/** Times until the unanswered orders are carried out, in milliseconds; 2 to 12 s are allowed. */
const FIRST_JOIN_LATE_MS = 6_000;
const LEAVE_LATE_MS = 11_500;
const SECOND_JOIN_LATE_MS = 8_500;
/** Time for which the orders and joins are followed after the spell, in milliseconds. */
const FOLLOWED_MS = 16_000;
const MODEL = "rada7437b5";
const LOAD_MS = 12_000;
const WARM_MS = 1_100;
const MODELS = [{ Name: MODEL, size: 2, Share: 1, pace: 0.6, LoadS: LOAD_MS / 1_000, WarmS: WARM_MS / 1_000 }];

const run = new Run(import.meta.dirname ?? new URL(".", import.meta.url).pathname);
const store = new Store();
await store.listen();
run.onEnd(() => store.close());
store.put("config", "main", config(7, {
  routes: [route("r-note", "/note/", "streaming", "tally-llm", { TimeoutMs: 6_000, Priority: 1, Sticky: true, Resumable: true, GapTargetMs: 200 })],
  services: [modelService("tally-llm", MODELS)],
}));
const servers = [];
const find = (id) => servers.find((server) => server.id === id && !server.isDown);
const isSame = (a, b) => a !== undefined && a.Name === b.Name && a.epoch === b.epoch;
/** Joins of another group while the head of the server's group was open or closing. */
const violations = [];
const onJoin = (server, order) => {
  const { group } = server;
  if (group === undefined || (group.Name === order.group && group.epoch === order.epoch)) return;
  const head = find(group.members[0]);
  if (isSame(head?.group, group) && ["open", "closing"].includes(head.group.State)) {
    violations.push(`${server.id} takes the join of ${order.group}/${order.epoch} while ${head.id}, the head of its group ${group.Name}/${group.epoch}, is ${head.group.State}`);
    run.record("two", violations.at(-1));
  }
};
let spellBeganMs;
let orderCount = 0;
const late = [];
/** Gets for how long an order of the spell stays unanswered: the first join and the second join of one server, and the leave of its group's head. */
const getDelayMs = (server, order) => {
  if (server.domain !== "kyushu-a-d1" && !isNewDomain(server.domain)) return 0;
  const isGroupJoin = order.Operation === "join" && order.Members.length > 1;
  if (spellBeganMs === undefined && isGroupJoin) {
    spellBeganMs = run.nowMs;
    run.record("spell-begin");
  }
  if (spellBeganMs === undefined || run.nowMs - spellBeganMs > SPELL_MS) return 0;
  orderCount++;
  if (!HAS_TROUBLE || server.domain !== "kyushu-a-d1") return 0;
  const rank = order.Members?.indexOf(server.id);
  const joins = late.filter(({ Operation }) => Operation === "join").length;
  const lateMs = isGroupJoin && rank === 1 && joins < 2
    ? (joins === 0 ? FIRST_JOIN_LATE_MS : SECOND_JOIN_LATE_MS)
    : order.Operation === "leave" && order.group === late[0]?.group && !late.some(({ Operation }) => Operation === "leave")
    ? LEAVE_LATE_MS
    : 0;
  if (lateMs > 0) late.push({ ...order, server: server.id, lateMs });
  return lateMs;
};
const isNewDomain = (domain) => domain.endsWith("-d1");
const behaviour = { onJoin, getDelayMs, models: { [MODEL]: { loadMs: 1_000, warmMs: WARM_MS } }, events: 35, eventMs: 30 };
const addServers = async (domain, zone, count, loadMs) => {
  for (let i = 0; i < count; i++) {
    const server = new ModelServer({ run, store, service: "tally-llm", zone, slots: 12, domain, behaviour: { ...behaviour, models: { [MODEL]: { loadMs, warmMs: WARM_MS } } } });
    await server.start();
    servers.push(server);
    run.onEnd(() => server.close());
  }
};
// Before the first request loads take a tenth of the time.
for (const zone of ZONES) await addServers(`${zone}-d0`, zone, FIRST_SERVERS_PER_DOMAIN, LOAD_MS / 10);
const network = await chooseNetwork(DAEMONS);
const daemons = [];
for (let i = 0; i < DAEMONS; i++) {
  daemons.push(await run.startDaemon({ name: `edge-${i + 1}`, zone: ZONES[i], ip: `${network}.${i + 1}`, storeAddress: store.address }));
}
let count = 0;
const send = (daemon) => {
  const own = (++count).toString(16).padStart(8, "0");
  return sendRequest(run, daemon, {
    method: "POST", key: KEY, deadlineMs: 6_000, path: "/note/1/", body: `note ${own}`,
    headers: { Model: MODEL, "Token-Usage": "700,175", "Prompt-Prefix": `5c1e07a2:40,${own}:660` },
  });
};
for (const daemon of daemons) {
  await waitUntil(`${daemon.name} serves`, async () => (await send(daemon)).status === 200);
}
let isOver = false;
const pending = [];
const traffic = (async () => {
  for (let i = 0; !isOver; i++) {
    pending.push(send(daemons[i % DAEMONS]));
    await delay(50);
  }
})();
await delay(BOUNDS.ContactMs);

// Empty servers are added: two in a new domain of each zone.
for (const zone of ZONES) await addServers(`${zone}-d1`, zone, 2, LOAD_MS);
await waitUntil("the groups of the added servers are formed", () => spellBeganMs !== undefined, 40_000);
await delay(SPELL_MS + FOLLOWED_MS);
isOver = true;
await traffic;
const results = await Promise.all(pending);
const share = late.length / orderCount;
run.record("judged", `${orderCount} orders in the spell of ${SPELL_MS} ms, ${late.length} of them unanswered and carried out late (share ${share.toFixed(2)}, allowed ${LARGEST_SHARE})`);
for (const { server, Operation, group, epoch, lateMs } of late) {
  run.record("judged", `unanswered: ${Operation} of ${group}/${epoch} to ${server}, carried out ${lateMs} ms later`);
}
run.record("judged", `${results.length} streams, ${results.filter((r) => r.status === 200 && r.end === "complete").length} complete`);
run.record("result", `TWO: ${violations.length} joins of another group while the head of the server's group was open: ${violations.join("; ")}`);
run.finish(share > LARGEST_SHARE ? 2 : violations.length > 0 ? 1 : 0);
