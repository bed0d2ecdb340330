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
      const cause = Object.assign(
        new Error("The test has disconnected the engine"),
        {
          code: "ECONNREFUSED",
        },
      );
      return Left(
        new EngineError("The test has disconnected the engine", {
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

interface TestSetup {
  readonly daemons: Daemon[];
  readonly monitors: Daemon[];
  readonly otherDaemons: Daemon[];
  readonly group: PlacedGroup;
  readonly member: FakeEngine;
  readonly linkFaults: LinkFaults;
  readonly clients: Map<string, FaultyEngineClient>;
}

/** Starts seven daemons. Only the monitors of a group, which are its first two homes, request its status in each interval. */
async function startDeployment(): Promise<TestSetup> {
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
  const monitorNames = new MonitorSelector({
    name: "",
    vmTable,
    fullObservationDaemons: 0,
  }).getMonitors(group);
  const isMonitor = (d: Daemon) =>
    monitorNames.includes(d.context.settings.name);
  const monitors = daemons.filter(isMonitor);
  expect(monitors.length).toBe(MONITORS_PER_GROUP);
  return {
    daemons,
    monitors,
    otherDaemons: daemons.filter((d) => !isMonitor(d)),
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
  setup: TestSetup,
  daemon: Daemon,
): FaultyEngineClient {
  return setup.clients.get(daemon.context.settings.name)!;
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
  readonly apply: (setup: TestSetup) => Promise<void> | void;
  /** Gets the daemons that the fault does not affect. */
  readonly getHealthyDaemons: (setup: TestSetup) => Daemon[];
}

const MONITOR_FAULTS: MonitorFault[] = [
  { name: "no fault", apply: () => {}, getHealthyDaemons: (s) => s.daemons },
  {
    name: "a monitor that is killed",
    apply: (s) => s.monitors[0].dispose(),
    getHealthyDaemons: (s) => [s.monitors[1], ...s.otherDaemons],
  },
  {
    name: "two monitors that are killed",
    apply: async (s) => {
      await Promise.all(s.monitors.map((d) => d.dispose()));
    },
    getHealthyDaemons: (s) => s.otherDaemons,
  },
  {
    name: "a monitor that does not respond",
    apply: (s) => {
      getClient(s, s.monitors[0]).fault = "silent";
      s.linkFaults.assumeNetworkPartition([[s.monitors[0]], [
        s.monitors[1],
        ...s.otherDaemons,
      ]]);
    },
    getHealthyDaemons: (s) => [s.monitors[1], ...s.otherDaemons],
  },
  {
    name: "a monitor that is partitioned from its peers",
    apply: (s) =>
      s.linkFaults.assumeNetworkPartition([[s.monitors[0]], [
        s.monitors[1],
        ...s.otherDaemons,
      ]]),
    getHealthyDaemons: (s) => s.daemons,
  },
  {
    name:
      "a monitor that is disconnected from the engines, so that the two monitors disagree",
    apply: (s) => {
      getClient(s, s.monitors[0]).fault = "unreachable";
    },
    getHealthyDaemons: (s) => [s.monitors[1], ...s.otherDaemons],
  },
];

describe("group health with two monitors a group", () => {
  // Guards against a fault of a monitor that makes other daemons stop using a working group.
  it.each(MONITOR_FAULTS)(
    "keeps the group in service with $name",
    async (fault) => {
      const setup = await startDeployment();
      await fault.apply(setup);
      await checkService(fault.getHealthyDaemons(setup), setup.group);
    },
  );

  // Guards against new work for a lost group whose monitors cannot report the loss.
  it.each(MONITOR_FAULTS)(
    "stops using a lost group with $name",
    async (fault) => {
      const setup = await startDeployment();
      const { group, member } = setup;
      await fault.apply(setup);
      const startedAtMs = performance.now();
      await member.dispose();
      const healthyDaemons = fault.getHealthyDaemons(setup);
      await waitUntil(() =>
        healthyDaemons.every((d) => !hasServingGroup(d, group))
      );
      expect(performance.now() - startedAtMs).toBeLessThan(HEALTH_EXPIRY_MS);
    },
  );

  // Guards against a loss that the monitors do not pass on to the other daemons.
  it("reports a lost group to all daemons within a second", async () => {
    const { daemons, group, member } = await startDeployment();
    const startedAtMs = performance.now();
    await member.dispose();
    await waitUntil(() => daemons.every((d) => !hasServingGroup(d, group)));
    expect(performance.now() - startedAtMs).toBeLessThan(LOSS_LIMIT_MS);
  });

  // Guards against new work for a group with a paused member, whose connections are not refused.
  it("stops using a group with a paused member before its health expires", async () => {
    const { daemons, group, member } = await startDeployment();
    const startedAtMs = performance.now();
    member.faults.paused = true;
    await waitUntil(() => daemons.every((d) => !hasServingGroup(d, group)));
    expect(performance.now() - startedAtMs)
      .toBeLessThan(HEALTH_EXPIRY_MS + LOSS_LIMIT_MS);
  });

  // Guards against daemons that request the status as often as monitors do, so that the load on engines grows with the number of daemons.
  it("requests the status less often on daemons that are not monitors", async () => {
    const setup = await startDeployment();
    const { groupId } = setup.group;
    const groups = setup.daemons[0].context.placementHolder.getGroups();
    const selector = new MonitorSelector({
      name: "",
      vmTable: setup.daemons[0].context.vmTable,
      fullObservationDaemons: 0,
    });
    const nonMonitor = setup.otherDaemons.find((d) =>
      groups.every((g) =>
        !selector.getMonitors(g).includes(d.context.settings.name)
      )
    )!;
    expect(nonMonitor, groupId).toBeDefined();
    const client = getClient(setup, nonMonitor);
    const requestsBefore = client.requests;
    await delay(6_000);
    const members = setup.group.sizeVms * groups.length;
    const monitorRequests = members * 6_000 /
      DEFAULT_INTERVALS.statusIntervalMs;
    expect(client.requests - requestsBefore).toBeLessThan(monitorRequests / 2);
  });
});

describe("a daemon that is disconnected from the engines", () => {
  // Guards against new work for a group that this daemon cannot reach although the other daemons can.
  it("does not treat the group as complete because another daemon reports it complete", async () => {
    const setup = await startDeployment();
    const [disconnectedDaemon] = setup.monitors;
    getClient(setup, disconnectedDaemon).fault = "unreachable";
    await waitUntil(() => !hasServingGroup(disconnectedDaemon, setup.group));
    const untilMs = performance.now() + HEALTH_EXPIRY_MS;
    while (performance.now() < untilMs) {
      expect(hasServingGroup(disconnectedDaemon, setup.group)).toBe(false);
      await delay(20);
    }
  });
});
