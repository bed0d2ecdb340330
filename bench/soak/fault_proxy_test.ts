import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../../src/shared/delay.ts";
import { FaultProxy, type LinkFault } from "./fault_proxy.ts";

const WAIT_MS = 60;

describe("FaultProxy", () => {
  let server: Server | undefined;
  let proxy: FaultProxy | undefined;
  let caller: Socket | undefined;

  afterEach(async () => {
    caller?.destroy();
    await proxy?.dispose();
    await new Promise((resolve) => server!.close(resolve));
  });

  /** Connects to an echo server through a proxy and collects the data that the server and the caller receive. */
  async function doTest() {
    const receivedData = { server: "", caller: "", isReset: false };
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        receivedData.server += chunk;
        socket.write(chunk);
      });
    });
    await new Promise<void>((resolve) =>
      server!.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    proxy = new FaultProxy(`127.0.0.1:${port}`);
    await proxy.listen();
    caller = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
    caller.on("data", (chunk) => receivedData.caller += chunk);
    caller.on("error", () => receivedData.isReset = true);
    caller.write("a");
    await delay(WAIT_MS);
    expect(receivedData).toEqual({ server: "a", caller: "a", isReset: false });
    return { receivedData, caller, proxy };
  }

  it.each<[LinkFault, string, string]>([
    ["silence", "a", "a"],
    ["cut-requests", "a", "a"],
    ["cut-answers", "ab", "a"],
    ["delay", "a", "a"],
  ])(
    "holds back data under the fault %s and forwards the data when the fault ends",
    async (
      fault,
      expectedServerData,
      expectedCallerData,
    ) => {
      const connection = await doTest();
      connection.proxy.setFault(fault);
      connection.caller.write("b");
      await delay(WAIT_MS);
      expect(connection.receivedData.server).toBe(expectedServerData);
      expect(connection.receivedData.caller).toBe(expectedCallerData);
      connection.proxy.setFault("none");
      await delay(400);
      expect(connection.receivedData).toEqual({
        server: "ab",
        caller: "ab",
        isReset: false,
      });
    },
  );

  it("resets open connections under the fault reset", async () => {
    const connection = await doTest();
    connection.proxy.setFault("reset");
    await delay(WAIT_MS);
    expect(connection.receivedData.isReset).toBe(true);
  });
});
