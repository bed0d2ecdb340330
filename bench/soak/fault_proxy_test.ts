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

  /** Connects to a server that repeats what it gets, and collects what arrives at both sides. */
  async function doTest() {
    const received = { server: "", caller: "", isReset: false };
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (piece) => {
        received.server += piece;
        socket.write(piece);
      });
    });
    await new Promise<void>((resolve) =>
      server!.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    proxy = new FaultProxy(`127.0.0.1:${port}`);
    await proxy.listen();
    caller = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
    caller.on("data", (piece) => received.caller += piece);
    caller.on("error", () => received.isReset = true);
    caller.write("a");
    await delay(WAIT_MS);
    expect(received).toEqual({ server: "a", caller: "a", isReset: false });
    return { seen: received, caller, proxy };
  }

  it.each<[LinkFault, string, string]>([
    ["silence", "a", "a"],
    ["cut-requests", "a", "a"],
    ["cut-answers", "ab", "a"],
    ["delay", "a", "a"],
  ])("holds back what %s holds back, and lets it go later", async (
    fault,
    atServer,
    atCaller,
  ) => {
    const test = await doTest();
    test.proxy.setFault(fault);
    test.caller.write("b");
    await delay(WAIT_MS);
    expect(test.seen.server).toBe(atServer);
    expect(test.seen.caller).toBe(atCaller);
    test.proxy.setFault("none");
    await delay(400);
    expect(test.seen).toEqual({ server: "ab", caller: "ab", isReset: false });
  });

  it("resets connections", async () => {
    const test = await doTest();
    test.proxy.setFault("reset");
    await delay(WAIT_MS);
    expect(test.seen.isReset).toBe(true);
  });
});
