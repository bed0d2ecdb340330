// A server leaves without `draining` while the planner stands still, some seconds
// after an outage of the store: other daemons go on sending to it.
import { runCase, sleep, waitUntil } from "../deployment-3.mjs";

const hasTrouble = process.env.TROUBLE !== "0";

const DRAIN_MS = 2_000;
/** Time for which the store is down, in milliseconds. */
const OUTAGE_MS = 1_600;
/** Time for which the planner stands still before the outage, so that the others read the store for a while. */
const FIRST_FREEZE_MS = 2_500;
/** Time from the end of the last outage until the server leaves; the daemons are in touch again after 3 s. */
const CALM_MS = 8_000;
/** Time for which the planner stands still, in milliseconds. */
const FREEZE_MS = 5_000;
/** Time from the begin of the freeze until the server's entry is removed, in milliseconds. */
const REMOVAL_MS = 100;

await runCase(import.meta.url, async (trial) => {
  await trial.startStore(await trial.createConfig());
  const servers = [];
  for (const id of ["p0", "p1", "p2"]) {
    servers.push(await trial.addServer({ id, service: "app", zone: "z1" }));
  }
  for (const id of ["m0", "m1"]) {
    await trial.addServer({ id, service: "models", zone: "z1", domain: "d0" });
  }
  for (let index = 0; index < 3; index++) {
    await trial.startDaemon({
      name: `entry-${index}`,
      ip: `127.0.0.${50 + index}`,
      zone: "z1",
    });
  }
  const look = (daemon) => trial.send(daemon, { method: "GET", path: "/look/1" });
  for (const daemon of trial.daemons) {
    if (!await waitUntil(async () => (await look(daemon)).status === 200, 15_000)) {
      throw new Error(`${daemon.name} does not serve\n${daemon.log.slice(-2_000)}`);
    }
  }
  await sleep(4_000);
  const findPlannerDaemon = () => {
    const { holder } = trial.store.getObject("tarragontally-leases", "planner");
    return trial.daemons.find(({ name }) => name === holder);
  };
  const freeze = async ({ name, child }, durationMs) => {
    trial.record(`the planner, ${name}, stands still for ${durationMs} ms`);
    child.kill("SIGSTOP");
    await sleep(durationMs);
    child.kill("SIGCONT");
  };

  if (hasTrouble) {
    await freeze(findPlannerDaemon(), FIRST_FREEZE_MS);
    await sleep(6_000);
    trial.record(`the store is down for ${OUTAGE_MS} ms`);
    trial.store.fault = "busy";
    await sleep(OUTAGE_MS);
    trial.store.fault = "none";
    trial.record("the store answers again");
  }
  servers.push(await trial.addServer({ id: "p3", service: "app", zone: "z1" }));
  await sleep(CALM_MS);

  const planner = findPlannerDaemon();
  const others = trial.daemons.filter((daemon) => daemon !== planner);
  let isSending = true;
  const answers = [];
  const sendTo = async (daemon) => {
    while (isSending) {
      const sentAtMs = Date.now();
      answers.push(
        look(daemon).then((answer) => ({ ...answer, daemon: daemon.name, sentAtMs })),
      );
      await sleep(25);
    }
  };
  const senders = others.map(sendTo);
  await sleep(1_000);
  if (hasTrouble) {
    void freeze(planner, FREEZE_MS);
  }
  await sleep(REMOVAL_MS);
  servers[0].removeEntry();
  const removedAtMs = Date.now();
  trial.record("p0 leaves: its entry is removed, it serves on");
  await sleep(5_500);
  isSending = false;
  await Promise.all(senders);
  const settled = await Promise.all(answers);
  const runs = trial.runs.filter(({ serverId, atMs }) =>
    serverId === "p0" && atMs >= removedAtMs
  ).map(({ requestId, atMs }) => ({
    afterMs: atMs - removedAtMs,
    answer: settled.find((answer) => answer.requestId === requestId),
  })).filter(({ answer }) => answer !== undefined);
  const late = runs.filter(({ afterMs }) => afterMs > DRAIN_MS);
  const last = Math.max(0, ...runs.map(({ afterMs }) => afterMs));
  trial.record(
    `requests that reached p0 after the removal of its entry: ${runs.length}, the last ${last} ms after it; later than ${DRAIN_MS} ms: ${late.length}`,
  );
  late.forEach(({ afterMs, answer }) =>
    trial.record(
      `${answer.requestId}: sent to ${answer.daemon} ${
        answer.sentAtMs - removedAtMs
      } ms after the removal, reached p0 after ${afterMs} ms, status ${answer.status}`,
    )
  );
  for (const { name, log } of others) {
    log.split("\n").filter((line) =>
      /store-regained|store-lost|backend-gone/.test(line) && /servers|p0/.test(line)
    ).forEach((line) => trial.record(`log of ${name}: ${line.slice(0, 220)}`));
  }
  return late.length > 0;
});
