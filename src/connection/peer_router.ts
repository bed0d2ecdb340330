import type { DaemonContext } from "../process/daemon_context.ts";
import { createPeerAdmissionRouter } from "./peer_admission_router.ts";
import { createPeerQuarantineRouter } from "./peer_quarantine_router.ts";
import { createPeerStateRouter } from "./peer_state_router.ts";
import { createPeerTimelineRouter } from "./peer_timeline_router.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the router of the peer port.
 *
 * @param context - Parts of the daemon.
 */
export function createPeerRouter(context: DaemonContext) {
  return peerTrpc.router({
    state: createPeerStateRouter(context),
    admission: createPeerAdmissionRouter(context),
    quarantine: createPeerQuarantineRouter(context),
    timeline: createPeerTimelineRouter(context),
  });
}

/** Type of the peer router, which the peer client is typed by. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
