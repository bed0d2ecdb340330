import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import type { DaemonDescription } from "../../connection/peer_notice.ts";
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import { waitUntil } from "../../../tests/support/platform_deployment.ts";
import { delay } from "../../shared/delay.ts";
import { LifeCycleManager } from "../../shared/life_cycle_manager.ts";
import { HolderWatcher } from "./holder_watcher.ts";

describe("HolderWatcher", () => {
  let lifeCycle = new LifeCycleManager();

  afterEach(async () => {
    await lifeCycle.dispose();
    lifeCycle = new LifeCycleManager();
  });

  /** Starts a watcher of a listener, and waits until it is connected. */
  async function startWatcher() {
    const sockets: Socket[] = [];
    const server = createServer((socket) => void sockets.push(socket));
    server.listen(0, "127.0.0.1");
    lifeCycle.addCallback(() => void server.close());
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const ended: string[] = [];
    const state: { holder: DaemonDescription | undefined } = {
      holder: {
        ...createDaemonDescription("entry-0"),
        address: `127.0.0.1:${port}`,
      },
    };
    const watcher = new HolderWatcher({
      findHolder: () => state.holder,
      onConnected: () => {},
      onEnded: ({ name }) => ended.push(name),
    });
    void watcher.run(lifeCycle.signal);
    await waitUntil(() => sockets.length > 0);
    return { sockets, ended, state };
  }

  // Guards against a killed planner that is a member: only its hub has a link with it, and one report is not enough.
  it.each(["destroy", "resetAndDestroy"] as const)(
    "reports the end of the connection after %s, and connects again",
    async (method) => {
      const { sockets, ended } = await startWatcher();
      sockets[0][method]();
      await waitUntil(() => sockets.length === 2);
      expect(ended).toEqual(["entry-0"]);
    },
  );

  // Guards against reports on a daemon that has given up the lease or has a link meanwhile.
  it("reports nothing when it has closed the connection itself", async () => {
    const { sockets, ended, state } = await startWatcher();
    state.holder = undefined;
    await once(sockets[0].resume(), "close");
    await delay(50);
    expect(ended).toEqual([]);
    expect(sockets).toHaveLength(1);
  });
});
