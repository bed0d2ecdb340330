import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

const DAEMONS = 2;
/** Paths of a route of each kind. */
const PATHS = ["/book/1", "/look/1", "/model/1"];

describe("a configuration without client accounts", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: DAEMONS, models: 4 });
    await deployment.waitUntilServing();
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  /** Writes a configuration, waits until it is in force, and returns the statuses of calls with a valid key of the version before, another one and none. */
  async function doTest(change: Record<string, unknown>) {
    deployment.writeConfig(change);
    await waitUntil(() =>
      deployment.events.filter(({ event, fields }) =>
        event === "config-in-force" && fields.version === 2
      ).length === DAEMONS
    );
    const runsBefore = deployment.runs.length;
    const statuses = new Set<number | undefined>();
    for (const callerAddress of deployment.callerAddresses) {
      for (const path of PATHS) {
        for (const key of ["key-1", "key-of-nobody", ""]) {
          const headers = { Credential: key };
          const response = path.startsWith("/model/")
            ? await deployment.callModel(callerAddress, { headers })
            : await deployment.call(callerAddress, {
              method: "POST",
              path,
              headers,
            });
          statuses.add(response.status);
        }
      }
    }
    return {
      statuses: [...statuses],
      runs: deployment.runs.length - runsBefore,
    };
  }

  // Guards against a service that is open to everybody, also to the holders of removed keys, once the operator has removed the last account.
  it("refuses all keys when its list of accounts is empty", async () => {
    expect(await doTest({ Tenants: [] })).toEqual({ statuses: [401], runs: 0 });
  });

  it("serves public routes when its list of accounts is empty", async () => {
    const routes = createPlatformConfig(0).Routes.map((route) => ({
      ...route,
      Public: true,
    }));
    const { statuses } = await doTest({ Tenants: [], Routes: routes });
    expect(statuses).toEqual([200]);
  });

  it("asks for no key when it has no list of accounts", async () => {
    const { statuses } = await doTest({ Tenants: undefined });
    expect(statuses).toEqual([200]);
  });
});
