import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { GroupOrder } from "../../src/connection/group_order_client.ts";
import { MODELS } from "./explored_config.ts";
import { SimulatedServer } from "./simulated_server.ts";
import { VirtualClock } from "./virtual_clock.ts";

const JOIN: GroupOrder = {
  action: "join",
  groupName: "g1",
  generation: 2,
  model: MODELS[0].name,
  members: ["s0", "s1"],
};
const OPEN: GroupOrder = { action: "open", groupName: "g1", generation: 2 };
const LEAVE: GroupOrder = { ...OPEN, action: "leave" };
const CLOSE: GroupOrder = { ...OPEN, action: "close", inFlight: "finish" };
/** Time after which each order has ended, in milliseconds. */
const SETTLED_MS = 1_000;

describe("SimulatedServer", () => {
  const clock = new VirtualClock();

  beforeEach(() => clock.start());
  afterEach(() => clock.dispose());

  // Guards against a stand-in that answers orders in other ways than the platform's page says.
  describe("applyOrder", () => {
    async function doTest(
      orders: readonly [GroupOrder, number][],
    ): Promise<{ outcomes: string[]; state: string | undefined }> {
      const server = new SimulatedServer({
        id: "s0",
        stagedModels: [MODELS[0].name],
        observer: { onGroupEnd() {}, onChange() {}, onOpen() {} },
      });
      const outcomes: string[] = [];
      for (const [order, term] of orders) {
        outcomes.push(server.applyOrder(order, term));
        await clock.runUntil(clock.getTimeMs() + SETTLED_MS);
      }
      return { outcomes, state: server.group?.state };
    }

    it.each<[string, [GroupOrder, number][], string[], string | undefined]>([
      [
        "opens a ready head",
        [[JOIN, 1], [OPEN, 1]],
        ["begun", "begun"],
        "open",
      ],
      ["does not open without a group", [[OPEN, 1]], ["unfit"], undefined],
      [
        "refuses an order of an earlier term",
        [[JOIN, 2], [OPEN, 1]],
        ["begun", "fenced"],
        "ready",
      ],
      [
        "refuses a join of an earlier generation, also after it has left",
        [[JOIN, 1], [LEAVE, 1], [{ ...JOIN, generation: 1 }, 1]],
        ["begun", "done", "fenced"],
        undefined,
      ],
      [
        "refuses other members for the same group",
        [[JOIN, 1], [{ ...JOIN, members: ["s0", "s2"] }, 1]],
        ["begun", "fenced"],
        "ready",
      ],
      [
        "ignores a leave of another group",
        [[JOIN, 1], [{ ...LEAVE, groupName: "g2" }, 1]],
        ["begun", "unfit"],
        "ready",
      ],
      [
        "closes an open group",
        [[JOIN, 1], [OPEN, 1], [CLOSE, 1]],
        ["begun", "begun", "begun"],
        "ready",
      ],
    ])("%s", async (_, orders, outcomes, state) => {
      expect(await doTest(orders)).toEqual({ outcomes, state });
    });
  });
});
