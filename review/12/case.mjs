// Orders get no answer, or are carried out late, around a kill of all daemons:
// the planner does not form the group again.
import { hasTrouble, runCase, sleep, waitUntil } from "../deployment-3.mjs";
import { OrderProxy } from "../order_proxy-3.mjs";

const RECOVERY_MS = 12_000;
const DOWN_MS = 1_300;
/** Time for which the head is cut off from the daemons, in milliseconds. */
const CUT_MS = 2_300;
/** Time from the unanswered close until the late leave is carried out, in milliseconds. */
const LEAVE_AFTER_CLOSE_MS = 250;
/** Time after which the close is carried out, in milliseconds. */
const LATE_CLOSE_MS = 2_000;
const MIN_SERVED_SHARE = 0.25;

await runCase(import.meta.url, async (trial) => {
  const config = await trial.createConfig();
  const { Engine: engine } = config.Services[0];
  engine.FormMs = 300;
  Object.assign(engine.Models[0], { LoadS: 12, WarmS: 1.1 });
  await trial.startStore(config);
  const proxies = new Map();
  for (const id of ["m1", "m2"]) {
    const proxy = new OrderProxy();
    await proxy.listen();
    proxies.set(id, proxy);
    proxy.onOrder = (order, outcome) =>
      trial.record(
        `${id}: ${order.Operation} ${order.group} of term ${order.FencingToken}: ${outcome}`,
      );
    await trial.addServer({
      id,
      service: "models",
      zone: "z1",
      domain: "d0",
      getPublicAddress: (address) => proxy.getPublicAddress(address),
    });
  }
  for (const [index, zone] of ["z1", "z2", "z3"].entries()) {
    await trial.startDaemon({
      name: `entry-${index}`,
      ip: `127.0.0.${30 + index}`,
      zone,
    });
  }
  const call = (daemon) =>
    trial.send(daemon, {
      method: "POST",
      path: "/model/1",
      headers: { Model: "m", "Token-Usage": "10,20" },
      body: "prompt",
    });
  for (const daemon of trial.daemons) {
    const isServing = await waitUntil(async () =>
      (await call(daemon)).status === 200, 20_000);
    if (!isServing) {
      throw new Error(`${daemon.name} does not serve\n${daemon.log.slice(-2_000)}`);
    }
  }
  await sleep(3_500);

  /** Sends requests to all daemons for a time; returns the share that is served. */
  const measure = async (label, durationMs) => {
    const endMs = performance.now() + durationMs;
    const answers = [];
    for (let i = 0; performance.now() < endMs; i++) {
      answers.push(call(trial.daemons[i % trial.daemons.length]));
      await sleep(200);
    }
    const settled = await Promise.all(answers);
    const served = settled.filter((a) => a.status === 200 && a.isComplete).length;
    const statuses = {};
    settled.forEach(({ status, error }) => {
      statuses[status ?? error] = (statuses[status ?? error] ?? 0) + 1;
    });
    trial.record(
      `${label}: sent ${settled.length}, served ${served}, statuses ${JSON.stringify(statuses)}`,
    );
    return served / settled.length;
  };
  const shareBefore = await measure("before", 3_000);

  if (hasTrouble) {
    const head = [...trial.fleet.values()].find(({ group }) => group.rank === 0);
    const [headId] = [...trial.fleet].find(([, server]) => server === head);
    const held = {};
    for (const [id, proxy] of proxies) {
      proxy.mustHold = (order, heldCall) => {
        if (order.Operation === "leave" && held[id] === undefined) {
          held[id] = heldCall;
          held[`${id}AtMs`] = performance.now();
          return true;
        }
        if (
          id === headId && order.Operation === "close" &&
          held[id] !== undefined && held.close === undefined
        ) {
          held.close = heldCall;
          setTimeout(() =>
            proxy.carryOut(held[id], (status) =>
              trial.record(
                `${id}: leave carried out ${
                  Math.round(performance.now() - held[`${id}AtMs`])
                } ms after it was sent: ${status}`,
              )), LEAVE_AFTER_CLOSE_MS);
          setTimeout(() =>
            proxy.carryOut(held.close, (status) =>
              trial.record(`${id}: late close carried out: ${status}`)), LATE_CLOSE_MS);
          return true;
        }
        return false;
      };
    }
    trial.record(`${headId}, the head, is cut off from the daemons for ${CUT_MS} ms`);
    const requests = measure("around the fault", 6_000);
    await head.pause(CUT_MS);
    if (!await waitUntil(() => held.m1 !== undefined && held.m2 !== undefined, 15_000)) {
      throw new Error("the members got no leave orders");
    }
    trial.record("final fault: all daemons are killed");
    trial.daemons.forEach(({ child }) => child.kill("SIGKILL"));
    await Promise.all(trial.daemons.map(({ ended }) => ended));
    await sleep(DOWN_MS);
    trial.daemons.forEach((daemon) => trial.restartDaemon(daemon));
    await waitUntil(async () =>
      (await Promise.all(trial.daemons.map((d) => trial.isReady(d)))).every(Boolean), 10_000);
    trial.record("all daemons are ready again");
    await requests;
    await waitUntil(() => held.close !== undefined, 10_000);
  }
  await sleep(RECOVERY_MS);
  const shareAfter = await measure("later than RecoveryS", 15_000);
  for (const [id, { group }] of trial.fleet) {
    trial.record(`${id}: ${group === undefined ? "no group" : `${group.Name} rank ${group.rank} ${group.State}`}`);
  }
  return shareBefore >= MIN_SERVED_SHARE && shareAfter < MIN_SERVED_SHARE;
});
