import { createTRPCClient, type TRPCClient } from "@trpc/client";
import { request } from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import { z } from "zod";
import { HttpServer } from "./http_server.ts";
import { PeerHttpClient } from "./peer_http_client.ts";
import { peerTrpc } from "./peer_trpc.ts";
import { createTrpcLink } from "./trpc_link.ts";
import { createTrpcListener } from "./trpc_listener.ts";

const router = peerTrpc.router({
  math: peerTrpc.router({
    add: peerTrpc.procedure.input(z.object({ a: z.number(), b: z.number() }))
      .mutation(({ input }) => input.a + input.b),
    double: peerTrpc.procedure.input(z.number())
      .query(({ input }) => ({ result: 2 * input })),
    fail: peerTrpc.procedure.query((): null => {
      throw new Error("out of order");
    }),
  }),
});

describe("createTrpcListener", () => {
  const servers: HttpServer[] = [];
  const httpClient = new PeerHttpClient();

  afterEach(async () => {
    for (const server of servers.splice(0)) {
      await server.dispose();
    }
    httpClient.dispose();
  });

  async function startServer(): Promise<HttpServer> {
    const server = new HttpServer(createTrpcListener(router));
    servers.push(server);
    await server.listen({ host: "127.0.0.1", port: 0 });
    return server;
  }

  async function createClient(): Promise<TRPCClient<typeof router>> {
    const { address } = await startServer();
    return createTRPCClient<typeof router>({
      links: [createTrpcLink({
        address,
        fetch: (url, init) => httpClient.request(url, init),
        timeoutMs: 1_000,
      })],
    });
  }

  function sendText(
    address: string,
    options: { method: string; path: string; body?: string },
  ): Promise<number | undefined> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      const req = request(
        { host, port, method: options.method, path: options.path },
        (res) => {
          res.resume();
          res.on("end", () => resolve(res.statusCode));
        },
      );
      req.on("error", reject);
      req.end(options.body);
    });
  }

  it("calls mutations and queries", async () => {
    const client = await createClient();
    expect(await client.math.add.mutate({ a: 1, b: 2 })).toBe(3);
    expect(await client.math.double.query(4)).toEqual({ result: 8 });
  });

  it("reports the error of a procedure", async () => {
    const client = await createClient();
    await expect(client.math.fail.query()).rejects.toThrow("out of order");
  });

  it("refuses an input that does not fit the procedure", async () => {
    const client = await createClient();
    await expect(client.math.add.mutate({ a: "1" } as never)).rejects.toThrow();
  });

  it.each([
    ["an input that is not JSON", "POST", "/math.add", "{", 400],
    ["an unknown procedure", "POST", "/math.subtract", "{}", 404],
    ["a query that is called as a mutation", "POST", "/math.double", "1", 404],
    ["a property of every object", "GET", "/__proto__", undefined, 404],
    ["a path that is no URL", "GET", "//", undefined, 404],
  ])("answers %s with an error", async (_name, method, path, body, status) => {
    const { address } = await startServer();
    expect(await sendText(address, { method, path, body })).toBe(status);
  });
});
