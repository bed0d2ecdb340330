import type { DaemonContext } from "../process/daemon_context.ts";
import { createPeerAdmissionRouter } from "./peer_admission_router.ts";
import { createPeerQuarantineRouter } from "./peer_quarantine_router.ts";
import { createPeerStateRouter } from "./peer_state_router.ts";
import { createPeerTimelineRouter } from "./peer_timeline_router.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the tRPC router of the peer port.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerRouter(context: DaemonContext) {
  return peerTrpc.router({
    state: createPeerStateRouter(context),
    admission: createPeerAdmissionRouter(context),
    quarantine: createPeerQuarantineRouter(context),
    timeline: createPeerTimelineRouter(context),
  });
}

/** Type of the tRPC router, from which the type of the peer client is derived. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
