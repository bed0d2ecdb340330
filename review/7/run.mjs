import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfig, delay, Deployment, HAS_TROUBLE, MODELS, ZONES } from "../deployment-2.mjs";
import { Server } from "../server-2.mjs";

const SEND_INTERVAL_MS = 1_500;
const ROUNDS = 30;
/** Arrivals that the head turns away, since it is full, with the time after which it wants requests again. */
const REFUSED_ARRIVALS = new Set([10, 25, 40, 55, 70, 85]);
/** Refusals that the head sends a second time: 3 of about 100 answers, the share of the site file (garble, extra late, x = 0.03). */
const REPEATED_REFUSALS = new Set([25, 55, 85]);

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)));
const runs = new Map();
const repeats = new Map(); // channel to the refusal that is sent again on it
let arrivals = 0;
let repeated = 0;
let isCounting = false;

function behave(own, server) {
  const { req, id, res } = own;
  const { socket } = req;
  const late = repeats.get(socket);
  if (late !== undefined) {
    // A second copy of the earlier answer, at the point where the next answer is expected.
    repeats.delete(socket);
    repeated++;
    deployment.note(`server ${server.id} sends the refusal of ${late.id} a second time on the channel on which ${id} has arrived`);
    socket.write(late.bytes);
  }
  if (!isCounting || server.group?.state !== "open") return false;
  arrivals++;
  if (REFUSED_ARRIVALS.has(arrivals)) {
    deployment.note(`server ${server.id} refuses ${id}: 503, Not-Executed, Retry-After: 1`);
    res.writeHead(503, { "Request-Id": id, "Not-Executed": "1", "Retry-After": "1", "content-length": 0 });
    res.end();
    if (HAS_TROUBLE && REPEATED_REFUSALS.has(arrivals)) {
      repeats.set(socket, { id, bytes: `HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n` });
    }
    return true;
  }
  return false;
}

function onEvent(event) {
  if (event.id === undefined || !isCounting) return;
  if (event.what !== "arrives") deployment.note(`server ${event.server} ${event.what} ${event.id}`);
  if (event.what === "runs") runs.set(event.id, (runs.get(event.id) ?? 0) + 1);
}

// The route's streams may not be resumed, so that each request may run once at most.
await deployment.start({ daemons: 0, config: createConfig(1, { stream: { Resumable: false } }) });
for (const id of ["i-0001", "i-0002"]) {
  const server = new Server({
    id, service: "llm", zone: ZONES[0], domain: "zone-a-d0", host: deployment.host, store: deployment.store.address,
    models: MODELS, slots: 12, events: 10, eventMs: 60, behave, onEvent,
  });
  await server.start();
}
for (let i = 0; i < 3; i++) deployment.startDaemon(i);
await deployment.waitForModel();
deployment.note("all machines serve the model; the traffic starts");
isCounting = true;

const pending = [];
for (let round = 0; round < ROUNDS; round++) {
  for (const daemon of deployment.daemons) {
    pending.push(deployment.sendStream(daemon));
    await delay(SEND_INTERVAL_MS / 3);
  }
}
const answers = await Promise.all(pending);
await delay(500);

const twice = [...runs].filter(([, count]) => count > 1);
const refused = answers.filter(({ id, status }) => (status === 503 || status === 429) && runs.has(id));
for (const [id, count] of twice) deployment.note(`${id} ran ${count} times (rule TWICE)`);
for (const { id, status } of refused) deployment.note(`${id} was answered ${status} and has run (rule REFUSED)`);
const summary = `${answers.length} streams that may not be resumed, ${repeated} answers repeated; ${twice.length} ran more than once, ${refused.length} were answered 503 or 429 and have run`;
deployment.finish(twice.length + refused.length > 0 ? 1 : 0, summary);
