// Two orders get no answer and are carried out late, around a kill of all daemons:
// the planner does not form the group again.
import { runCase, sleep, waitUntil } from "../deployment-3.mjs";
import { OrderProxy } from "../order_proxy-3.mjs";

const hasTrouble = process.env.TROUBLE !== "0";

const RECOVERY_MS = 12_000;
const DOWN_MS = 1_300;
/** Time for which a member is cut off from the daemons, in milliseconds. */
const CUT_MS = 2_300;
/** Time from the cut of the head until that of the other member, in milliseconds. */
const NEXT_CUT_MS = 900;
/** Cuts after which the planner has chosen the head for the next group, or the case cannot run. */
const MAX_CUTS = 4;
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
  for (const id of ["p0", "p1", "p2"]) {
    await trial.addServer({ id, service: "app", zone: "z1" });
  }
  const addMember = async (id) => {
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
  };
  await addMember("m1");
  await addMember("m2");
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
  // A spare that the planner puts before both members.
  await addMember("m0");
  await sleep(5_000);

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
    const held = {};
    let head;
    let headId;
    for (const [id, proxy] of proxies) {
      proxy.mustHold = (order, heldCall) => {
        if (id === headId && order.Operation === "leave" && held.leave === undefined) {
          Object.assign(held, { id, leave: heldCall, atMs: performance.now() });
          return true;
        }
        if (id === held.id && order.Operation === "close" && held.close === undefined) {
          held.close = heldCall;
          setTimeout(() =>
            proxy.carryOut(held.leave, (status) =>
              trial.record(
                `${id}: leave carried out ${
                  Math.round(performance.now() - held.atMs)
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
    const findMember = (rank, name) =>
      [...trial.fleet].find(([, { group }]) =>
        group?.rank === rank &&
        (name === undefined ? group.State === "open" : group.Name === name)
      );
    let isSending = true;
    const senders = (async () => {
      for (let i = 0; isSending; i++) {
        void call(trial.daemons[i % trial.daemons.length]);
        await sleep(200);
      }
    })();
    for (let cut = 1; held.leave === undefined && cut <= MAX_CUTS; cut++) {
      [headId, head] = findMember(0);
      const { Name: name } = head.group;
      const [otherId, other] = findMember(1, name);
      trial.record(`cut ${cut}: ${headId} (head of ${name}), then ${otherId}, for ${CUT_MS} ms each`);
      setTimeout(() => void other.pause(CUT_MS), NEXT_CUT_MS);
      await head.pause(CUT_MS);
      await waitUntil(() =>
        held.leave !== undefined || (findMember(0)?.[1].group.Name ?? name) !== name, 10_000);
      if (held.leave === undefined) {
        trial.record("the planner chose other servers for the next group");
        await sleep(4_000);
      }
    }
    isSending = false;
    await senders;
    if (held.leave === undefined) {
      throw new Error("no head got a leave order");
    }
    trial.record("final fault: all daemons are killed");
    trial.daemons.forEach(({ child }) => child.kill("SIGKILL"));
    await Promise.all(trial.daemons.map(({ ended }) => ended));
    await sleep(DOWN_MS);
    trial.daemons.forEach((daemon) => trial.restartDaemon(daemon));
    await waitUntil(async () =>
      (await Promise.all(trial.daemons.map((d) => trial.isReady(d)))).every(Boolean), 10_000);
    trial.record("all daemons are ready again");
    await waitUntil(() => held.close !== undefined, 10_000);
  }
  await sleep(RECOVERY_MS);
  const shareAfter = await measure("later than RecoveryS", 15_000);
  for (const [id, { group }] of trial.fleet) {
    trial.record(`${id}: ${group === undefined ? "no group" : `${group.Name} rank ${group.rank} ${group.State}`}`);
  }
  return shareBefore >= MIN_SERVED_SHARE && shareAfter < MIN_SERVED_SHARE;
});
