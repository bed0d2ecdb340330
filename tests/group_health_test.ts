import type { Container } from "inversify";
import { Left } from "purify-ts";
import { afterEach, describe, expect, it } from "vitest";
import type { FakeEngine } from "../fakes/fake_engine.ts";
import { EngineError } from "../src/connection/engine_client.ts";
import { HttpEngineClient } from "../src/connection/http_engine_client.ts";
import type { Daemon } from "../src/process/daemon.ts";
import type { DaemonSettings } from "../src/process/daemon_settings.ts";
import { HEALTH_EXPIRY_MS } from "../src/process/group_health.ts";
import {
  MONITORS_PER_GROUP,
  MonitorSelector,
} from "../src/process/monitor_selector.ts";
import { delay } from "../src/shared/delay.ts";
import type { PlacedGroup } from "../src/version/placement.ts";
import { LinkFaults } from "./support/link_faults.ts";
import {
  DEFAULT_INTERVALS,
  TestDeployment,
  waitUntil,
} from "./support/test_deployment.ts";

const DAEMONS = 7;
const LOSS_LIMIT_MS = 1_000;

type EngineFault = "none" | "unreachable" | "silent";

/** Engine client whose status requests fail with the fault that a test sets. */
class FaultyEngineClient extends HttpEngineClient {
  fault: EngineFault = "none";
  requests = 0;

  override async getStatus(address: string) {
    this.requests++;
    if (this.fault === "silent") {
      await new Promise(() => {});
    }
    if (this.fault === "unreachable") {
      const cause = Object.assign(new Error("The link is cut"), {
        code: "ECONNREFUSED",
      });
      return Left(
        new EngineError("The link is cut", {
          verdict: "not-run",
          kind: "unreachable",
          cause,
        }),
      );
    }
    return await super.getStatus(address);
  }
}

let deployment: TestDeployment | undefined;

afterEach(async () => {
  await deployment?.dispose();
  deployment = undefined;
});

interface StartedDeployment {
  readonly daemons: Daemon[];
  readonly monitors: Daemon[];
  readonly others: Daemon[];
  readonly group: PlacedGroup;
  readonly member: FakeEngine;
  readonly linkFaults: LinkFaults;
  readonly clients: Map<string, FaultyEngineClient>;
}

/** Starts 7 daemons. Only the monitors of a group, which are its first two homes, request its status in each interval. */
async function assumeDeployment(): Promise<StartedDeployment> {
  const linkFaults = new LinkFaults();
  const clients = new Map<string, FaultyEngineClient>();
  const bind = (container: Container, settings: DaemonSettings) => {
    linkFaults.bindClients(container, settings);
    const client = new FaultyEngineClient();
    clients.set(settings.name, client);
    container.rebind(HttpEngineClient).toConstantValue(client);
  };
  deployment = await TestDeployment.start({
    daemons: DAEMONS,
    settings: {
      ...DEFAULT_INTERVALS,
      fullObservationDaemons: 0,
    },
    configureContainer: bind,
  });
  const { daemons } = deployment;
  const { placementHolder, vmTable } = daemons[0].context;
  const group = placementHolder.getGroups()[0];
  await waitUntil(() =>
    daemons.every((d) =>
      d.context.membership.getListedNames().length === DAEMONS &&
      hasServingGroup(d, group)
    )
  );
  const names = new MonitorSelector({
    name: "",
    vmTable,
    fullObservationDaemons: 0,
  }).getMonitors(group);
  const isMonitor = (d: Daemon) => names.includes(d.context.settings.name);
  const monitors = daemons.filter(isMonitor);
  expect(monitors.length).toBe(MONITORS_PER_GROUP);
  return {
    daemons,
    monitors,
    others: daemons.filter((d) => !isMonitor(d)),
    group,
    member: deployment.getLeader(group.groupId),
    linkFaults,
    clients,
  };
}

function hasServingGroup(daemon: Daemon, group: PlacedGroup): boolean {
  return daemon.context.groupDirectory.getServingGroup(group) !== undefined;
}

function getClient(
  started: StartedDeployment,
  daemon: Daemon,
): FaultyEngineClient {
  return started.clients.get(daemon.context.settings.name)!;
}

/** Checks for longer than the health expiry that the group serves on all given daemons without interruption. */
async function checkService(
  daemons: readonly Daemon[],
  group: PlacedGroup,
): Promise<void> {
  const untilMs = performance.now() + HEALTH_EXPIRY_MS + 1_000;
  while (performance.now() < untilMs) {
    expect(daemons.map((d) => hasServingGroup(d, group)))
      .toEqual(daemons.map(() => true));
    await delay(20);
  }
}

interface MonitorFault {
  readonly name: string;
  /** Applies the fault. */
  readonly apply: (started: StartedDeployment) => Promise<void> | void;
  /** Gets the daemons that the fault does not affect. */
  readonly getHealthyDaemons: (started: StartedDeployment) => Daemon[];
}

const MONITOR_FAULTS: MonitorFault[] = [
  { name: "no fault", apply: () => {}, getHealthyDaemons: (s) => s.daemons },
  {
    name: "a monitor that is killed",
    apply: (s) => s.monitors[0].dispose(),
    getHealthyDaemons: (s) => [s.monitors[1], ...s.others],
  },
  {
    name: "both monitors killed",
    apply: async (s) => {
      await Promise.all(s.monitors.map((d) => d.dispose()));
    },
    getHealthyDaemons: (s) => s.others,
  },
  {
    name: "a monitor that stands still",
    apply: (s) => {
      getClient(s, s.monitors[0]).fault = "silent";
      s.linkFaults.cutPeerLinks([[s.monitors[0]], [
        s.monitors[1],
        ...s.others,
      ]]);
    },
    getHealthyDaemons: (s) => [s.monitors[1], ...s.others],
  },
  {
    name: "a monitor cut off from its peers",
    apply: (s) =>
      s.linkFaults.cutPeerLinks([[s.monitors[0]], [
        s.monitors[1],
        ...s.others,
      ]]),
    getHealthyDaemons: (s) => s.daemons,
  },
  {
    name: "a monitor cut off from the engines, so that two monitors disagree",
    apply: (s) => {
      getClient(s, s.monitors[0]).fault = "unreachable";
    },
    getHealthyDaemons: (s) => [s.monitors[1], ...s.others],
  },
];

describe("group health with two monitors a group", () => {
  // Guards against a fault of a monitor that makes other daemons stop using a working group.
  it.each(MONITOR_FAULTS)(
    "keeps the group in service with $name",
    async (fault) => {
      const started = await assumeDeployment();
      await fault.apply(started);
      await checkService(fault.getHealthyDaemons(started), started.group);
    },
  );

  // Guards against new work for a lost group whose monitors cannot report the loss.
  it.each(MONITOR_FAULTS)(
    "takes a lost group out with $name",
    async (fault) => {
      const started = await assumeDeployment();
      const { group, member } = started;
      await fault.apply(started);
      const startedAtMs = performance.now();
      await member.dispose();
      const healthyDaemons = fault.getHealthyDaemons(started);
      await waitUntil(() =>
        healthyDaemons.every((d) => !hasServingGroup(d, group))
      );
      expect(performance.now() - startedAtMs).toBeLessThan(HEALTH_EXPIRY_MS);
    },
  );

  // Guards against a loss that the monitors do not pass on to the other daemons.
  it("spreads a loss to all daemons within a second", async () => {
    const { daemons, group, member } = await assumeDeployment();
    const startedAtMs = performance.now();
    await member.dispose();
    await waitUntil(() => daemons.every((d) => !hasServingGroup(d, group)));
    expect(performance.now() - startedAtMs).toBeLessThan(LOSS_LIMIT_MS);
  });

  // Guards against new work for a group with a paused member, whose connections are not refused.
  it("takes a group with a paused member out before its health expires", async () => {
    const { daemons, group, member } = await assumeDeployment();
    const startedAtMs = performance.now();
    member.faults.paused = true;
    await waitUntil(() => daemons.every((d) => !hasServingGroup(d, group)));
    expect(performance.now() - startedAtMs)
      .toBeLessThan(HEALTH_EXPIRY_MS + LOSS_LIMIT_MS);
  });

  // Guards against daemons that request the status as often as monitors do, so that the load on engines grows with the number of daemons.
  it("asks the members less often on daemons that are no monitors", async () => {
    const started = await assumeDeployment();
    const { groupId } = started.group;
    const groups = started.daemons[0].context.placementHolder.getGroups();
    const selector = new MonitorSelector({
      name: "",
      vmTable: started.daemons[0].context.vmTable,
      fullObservationDaemons: 0,
    });
    const nonMonitor = started.others.find((d) =>
      groups.every((g) =>
        !selector.getMonitors(g).includes(d.context.settings.name)
      )
    )!;
    expect(nonMonitor, groupId).toBeDefined();
    const client = getClient(started, nonMonitor);
    const before = client.requests;
    await delay(6_000);
    const members = started.group.sizeVms * groups.length;
    const monitorRequests = members * 6_000 /
      DEFAULT_INTERVALS.statusIntervalMs;
    expect(client.requests - before).toBeLessThan(monitorRequests / 2);
  });
});

describe("a daemon cut off from the engines", () => {
  // Guards against new work for a group that this daemon cannot reach although the other daemons can.
  it("does not take the group for complete on another daemon's word", async () => {
    const started = await assumeDeployment();
    const [disconnectedDaemon] = started.monitors;
    getClient(started, disconnectedDaemon).fault = "unreachable";
    await waitUntil(() => !hasServingGroup(disconnectedDaemon, started.group));
    const untilMs = performance.now() + HEALTH_EXPIRY_MS;
    while (performance.now() < untilMs) {
      expect(hasServingGroup(disconnectedDaemon, started.group)).toBe(false);
      await delay(20);
    }
  });
});
