import { initTRPC } from "@trpc/server";

/** Builder of the peer routers. */
export const peerTrpc = initTRPC.create();
