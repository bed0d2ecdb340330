import { createClientHeaders } from "../fakes/platform_documents.ts";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PlatformDeployment } from "./support/platform_deployment.ts";
import { RawCaller } from "./support/raw_caller.ts";
import { waitUntil } from "./support/test_deployment.ts";

/** Number of requests whose callers leave. */
const CALLER_COUNT = 20;
/** Time that callers give a request, in milliseconds. */
const DEADLINE_MS = 3_000;
/** Time for which the event loop of the daemon is occupied, in milliseconds. */
const OCCUPIED_MS = 300;

function pauseLoop(durationMs: number): void {
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    // The event loop reads nothing meanwhile.
  }
}

describe("a request whose caller has left before it is read", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 0 });
    await waitUntil(async () => (await sendSoundRequest()).isWhole);
  });
  afterEach(() => deployment.dispose());

  function sendSoundRequest() {
    return deployment.call(deployment.callerAddresses[0], {
      method: "GET",
      path: "/look/1",
    });
  }

  // Guards against requests that wait in the kernel until their callers have given up, and are then sent to servers because their bytes are read before the close.
  it("is not sent to a server", async () => {
    const [address] = deployment.callerAddresses;
    const callers = await Promise.all(
      Array.from({ length: CALLER_COUNT }, () => RawCaller.open(address)),
    );
    callers.forEach((caller, i) => {
      const headers = Object.entries(
        createClientHeaders(`left-${i}`, "key-1", DEADLINE_MS),
      ).map(([name, value]) => `${name}: ${value}\r\n`).join("");
      caller.write(`GET /look/1 HTTP/1.1\r\n${headers}\r\n`);
      caller.close();
    });
    const soundResponse = sendSoundRequest();
    pauseLoop(OCCUPIED_MS);
    const listEvents = (event: string) =>
      deployment.events.filter(({ event: name, fields }) =>
        name === event && String(fields.requestId).startsWith("left-")
      );
    await waitUntil(() =>
      listEvents("request-failed").length +
          listEvents("request-answered").length === CALLER_COUNT
    );
    expect(listEvents("attempt-ended")).toEqual([]);
    expect(listEvents("request-answered")).toEqual([]);
    expect(await soundResponse).toMatchObject({ status: 200, isWhole: true });
    callers.forEach((caller) => caller.dispose());
  }, 30_000);
});
