import { initTRPC } from "@trpc/server";

/** tRPC builder of the routers and procedures of the peer port. */
export const peerTrpc = initTRPC.create();
